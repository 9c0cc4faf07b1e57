// Checks files of documents as a node would, and their references to one another over all files.
//
// How to use: read each file into a `DocumentFile`; `checkFiles` gives the faults, none when all is well. Of each document
// the first fault is told, as a node stops there too.
#pragma once

#include <string>
#include <vector>

namespace Fescuenotch {

struct DocumentFile {
    std::string name;
    std::string text; ///< one JSON object of keys to values
};

struct DocumentError {
    std::string file;
    std::string text; ///< JSON pointer, what was seen, what to do, in one line
};

std::vector<DocumentError> checkFiles(const std::vector<DocumentFile> &files);

} // namespace Fescuenotch
