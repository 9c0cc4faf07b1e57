#include "config/checkfiles.h"

#include "config/jsonnode.h"
#include "config/storeentry.h"
#include "config/strictjson.h"

#include <map>

namespace Fescuenotch {

namespace {

/// A document with its file and the JSON pointer of its value.
struct LocatedDocument {
    std::string file;
    std::string pointer;
    CheckedRecord checked;
};

class FilesChecker
{
public:
    void read(const DocumentFile &file);
    void checkReferences();
    std::vector<DocumentError> takeErrors()
    {
        return std::move(m_errors);
    }

private:
    void readMember(const DocumentFile &file, const std::string &key, const nlohmann::json &value);
    void checkProfile(const LocatedDocument &document);
    void checkService(const LocatedDocument &document);
    void checkReference(const LocatedDocument &document, const std::string &path, const std::string &key);
    void addError(const std::string &file, const std::string &text)
    {
        m_errors.push_back({file, text});
    }

    std::map<std::string, LocatedDocument> m_documents; ///< by key
    std::vector<DocumentError> m_errors;
};

/// Prefixes the JSON pointer of an error inside a document with the pointer of the document in its file.
std::string locatedError(const std::string &pointer, const std::string &error)
{
    return pointer + (error.rfind("/: ", 0) == 0 ? error.substr(1) : error);
}

void FilesChecker::read(const DocumentFile &file)
{
    const auto parsed = valueOrError([&] { return readStrictJson(file.text, {MaxPageBytes, RawMember{1, ""}}); });
    if (parsed.index() != 0) {
        addError(file.name, describe(std::get<1>(parsed)));
        return;
    }
    const auto &tree = std::get<0>(parsed);
    if (!tree.is_object()) {
        addError(file.name, "/: not an object; use one JSON object that maps keys to values");
        return;
    }
    for (const auto &[key, value] : tree.items()) {
        readMember(file, key, value);
    }
}

void FilesChecker::readMember(const DocumentFile &file, const std::string &key, const nlohmann::json &value)
{
    LocatedDocument document{file.name, pointerOf("/", key), {}};
    Record record{key, {0, 1}, std::nullopt};
    if (!value.is_null()) {
        record.value = value.get<std::string>();
    }
    document.checked = checkRecord(record);
    if (!document.checked.error.empty()) {
        addError(file.name, locatedError(document.pointer, document.checked.error));
    }
    const auto [it, isNew] = m_documents.emplace(key, document);
    if (!isNew) {
        addError(file.name, document.pointer + ": duplicate key, also defined in " + it->second.file + "; keep one of the two");
    }
}

void FilesChecker::checkReferences()
{
    for (const auto &[key, document] : m_documents) {
        if (document.checked.profile != nullptr) {
            checkProfile(document);
        }
        if (document.checked.service != nullptr) {
            checkService(document);
        }
    }
}

void FilesChecker::checkProfile(const LocatedDocument &document)
{
    std::size_t n = 0;
    for (const auto &route : document.checked.profile->routes) {
        checkReference(document, "/routes/" + std::to_string(n++) + "/service", "service/" + route.service);
    }
}

void FilesChecker::checkService(const LocatedDocument &document)
{
    checkReference(document, "/profile", "profile/" + document.checked.service->profile);
}

void FilesChecker::checkReference(const LocatedDocument &document, const std::string &path, const std::string &key)
{
    const auto it = m_documents.find(key);
    const std::string prefix = document.pointer + path + ": ";
    if (it == m_documents.end()) {
        addError(document.file, prefix + key + " is not defined in any of the files; add it or reference another");
    } else if (!it->second.checked.record.value) {
        addError(document.file, prefix + key + " is withdrawn in " + it->second.file + "; keep it or reference another");
    }
}

} // namespace

std::vector<DocumentError> checkFiles(const std::vector<DocumentFile> &files)
{
    FilesChecker checker;
    for (const auto &file : files) {
        checker.read(file);
    }
    checker.checkReferences();
    return checker.takeErrors();
}

} // namespace Fescuenotch
