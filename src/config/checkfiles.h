// Validates document files by the rules that a node applies, and the references between documents, also across files.
//
// Usage: read each file into a `DocumentFile` and pass all of them to `checkFiles` at once: a reference is resolved against all
// files of the call. The result is empty when every document is valid and every reference is resolved.
// Pitfall: only the first error of each document is reported, because a node stops parsing there too.
#pragma once

#include <string>
#include <vector>

namespace Fescuenotch {

struct DocumentFile {
    std::string name;
    std::string text; ///< one JSON object that maps keys to values; null means withdrawn
};

struct DocumentError {
    std::string file;
    std::string text; ///< one line: JSON pointer, what was found, how to correct it
};

/// Errors found while reading, in the order of the files; then unresolved references, in the order of their documents' keys.
std::vector<DocumentError> checkFiles(const std::vector<DocumentFile> &files);

} // namespace Fescuenotch
