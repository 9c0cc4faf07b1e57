#include "config/checkfiles.h"

#include "config/jsonnode.h"
#include "config/storeentry.h"
#include "config/strictjson.h"

#include <map>

namespace Fescuenotch {

namespace {

/// A document and where it stands.
struct PlacedDocument {
    std::string file;
    std::string pointer;
    CheckedRecord checked;
};

class FilesChecker
{
public:
    void read(const DocumentFile &file);
    void checkReferences();
    std::vector<DocumentFault> takeFaults()
    {
        return std::move(m_faults);
    }

private:
    void readMember(const DocumentFile &file, const std::string &key, const nlohmann::json &value);
    void checkProfile(const PlacedDocument &document);
    void checkService(const PlacedDocument &document);
    void checkReference(const PlacedDocument &document, const std::string &place, const std::string &key);
    void add(const std::string &file, const std::string &text)
    {
        m_faults.push_back({file, text});
    }

    std::map<std::string, PlacedDocument> m_documents; ///< by key
    std::vector<DocumentFault> m_faults;
};

/// Moves a fault's pointer under the key of its document.
std::string placedFault(const std::string &pointer, const std::string &fault)
{
    return pointer + (fault.rfind("/: ", 0) == 0 ? fault.substr(1) : fault);
}

void FilesChecker::read(const DocumentFile &file)
{
    const auto parsed = valueOrError([&] { return readStrictJson(file.text, {MaxPageBytes, RawMember{1, ""}}); });
    if (parsed.index() != 0) {
        add(file.name, describe(std::get<1>(parsed)));
        return;
    }
    const auto &tree = std::get<0>(parsed);
    if (!tree.is_object()) {
        add(file.name, "/: no object; use one JSON object of keys to values");
        return;
    }
    for (const auto &[key, value] : tree.items()) {
        readMember(file, key, value);
    }
}

void FilesChecker::readMember(const DocumentFile &file, const std::string &key, const nlohmann::json &value)
{
    PlacedDocument document{file.name, pointerOf("/", key), {}};
    Record record{key, {0, 1}, std::nullopt};
    if (!value.is_null()) {
        record.value = value.get<std::string>();
    }
    document.checked = checkRecord(record);
    if (!document.checked.fault.empty()) {
        add(file.name, placedFault(document.pointer, document.checked.fault));
    }
    const auto [it, isNew] = m_documents.emplace(key, document);
    if (!isNew) {
        add(file.name, document.pointer + ": the key stands in " + it->second.file + " too; keep one of the two");
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

void FilesChecker::checkProfile(const PlacedDocument &document)
{
    std::size_t n = 0;
    for (const auto &route : document.checked.profile->routes) {
        checkReference(document, "/routes/" + std::to_string(n++) + "/service", "service/" + route.service);
    }
}

void FilesChecker::checkService(const PlacedDocument &document)
{
    checkReference(document, "/profile", "profile/" + document.checked.service->profile);
}

void FilesChecker::checkReference(const PlacedDocument &document, const std::string &place, const std::string &key)
{
    const auto it = m_documents.find(key);
    const std::string at = document.pointer + place + ": ";
    if (it == m_documents.end()) {
        add(document.file, at + key + " is in none of the files; add it or name another");
    } else if (!it->second.checked.record.value) {
        add(document.file, at + key + " is withdrawn in " + it->second.file + "; keep it or name another");
    }
}

} // namespace

std::vector<DocumentFault> checkFiles(const std::vector<DocumentFile> &files)
{
    FilesChecker checker;
    for (const auto &file : files) {
        checker.read(file);
    }
    checker.checkReferences();
    return checker.takeFaults();
}

} // namespace Fescuenotch
