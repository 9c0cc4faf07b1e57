// Parses the platform's responses: pages of configuration and the host list.
#include "config/documents.h"
#include "config/jsonnode.h"
#include "config/strictjson.h"

#include <limits>
#include <set>

namespace Fescuenotch {

namespace {

constexpr std::size_t MaxChanges = 100'000; ///< in one page
constexpr std::size_t MaxHosts = 100'000;
constexpr std::size_t MaxKeyLength = 256; ///< characters
constexpr std::size_t ValueDepth = 3; ///< objects and arrays around a value: page, changes, change
constexpr std::uint64_t NoLimit = std::numeric_limits<std::uint64_t>::max();

Result<bool> readOptionalBool(const JsonNode &node, const std::string &name)
{
    const auto found = findMember(node, name);
    if (!found) {
        return false;
    }
    return asBool(*found);
}

Result<std::string> readKey(const JsonNode &node)
{
    BOOST_LEAF_AUTO(key, asString(node));
    if (key.empty() || key.size() > MaxKeyLength) {
        return nodeError(
            node, std::to_string(key.size()) + " characters are not a valid key length", "use 1 to " + std::to_string(MaxKeyLength) + " characters");
    }
    return key;
}

/// The JSON text of a value. An oversized one is truncated to one byte over the limit: it still fails validation, but does not
/// occupy more memory.
Result<std::optional<std::string>> readValue(const JsonNode &node)
{
    if (node.value->is_null()) {
        return std::optional<std::string>();
    }
    BOOST_LEAF_AUTO(text, asString(node));
    text.resize(std::min(text.size(), MaxValueBytes + 1));
    return std::optional<std::string>(std::move(text));
}

Result<Record> readChange(const JsonNode &node, const ConfigPage &page)
{
    Record record;
    BOOST_LEAF_AUTO(key, member(node, "key"));
    BOOST_LEAF_ASSIGN(record.key, readKey(key));
    BOOST_LEAF_AUTO(revision, member(node, "revision"));
    BOOST_LEAF_AUTO(n, asInteger(revision, 1, page.revision));
    record.version = {page.epoch, n};
    BOOST_LEAF_AUTO(value, member(node, "value"));
    BOOST_LEAF_ASSIGN(record.value, readValue(value));
    return record;
}

Result<std::vector<Record>> readChanges(const JsonNode &node, const ConfigPage &page)
{
    BOOST_LEAF_AUTO(entries, elements(node, MaxChanges));
    std::vector<Record> changes;
    std::set<std::string> keys;
    for (const auto &entry : entries) {
        BOOST_LEAF_AUTO(change, readChange(entry, page));
        if (!keys.insert(change.key).second) {
            return nodeError(entry, "the key " + change.key + " is listed twice", "list each key once in a page");
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

Result<HostEntry> readHost(const JsonNode &node)
{
    HostEntry entry;
    BOOST_LEAF_AUTO(host, member(node, "host"));
    BOOST_LEAF_ASSIGN(entry.host, asIpv4Address(host));
    BOOST_LEAF_AUTO(dataCentre, member(node, "data_centre"));
    BOOST_LEAF_ASSIGN(entry.dataCentre, asName(dataCentre));
    BOOST_LEAF_AUTO(service, member(node, "service"));
    BOOST_LEAF_ASSIGN(entry.service, asName(service));
    BOOST_LEAF_AUTO(peer, member(node, "peer"));
    BOOST_LEAF_ASSIGN(entry.peer, asEndpoint(peer));
    BOOST_LEAF_AUTO(state, member(node, "state"));
    BOOST_LEAF_AUTO(n, asEnumIndex(state, {"live", "leaving"}));
    entry.state = static_cast<HostState>(n);
    return entry;
}

} // namespace

Result<ConfigPage> parseConfigPage(const std::string &json)
{
    BOOST_LEAF_AUTO(tree, readStrictJson(json, {MaxPageBytes, RawMember{ValueDepth, "value"}}));
    const JsonNode root{&tree, "/"};
    ConfigPage page;
    BOOST_LEAF_AUTO(epoch, member(root, "epoch"));
    BOOST_LEAF_ASSIGN(page.epoch, asInteger(epoch, 0, NoLimit));
    BOOST_LEAF_AUTO(revision, member(root, "revision"));
    BOOST_LEAF_ASSIGN(page.revision, asInteger(revision, 0, NoLimit));
    BOOST_LEAF_ASSIGN(page.complete, readOptionalBool(root, "complete"));
    BOOST_LEAF_ASSIGN(page.more, readOptionalBool(root, "more"));
    BOOST_LEAF_AUTO(changes, member(root, "changes"));
    BOOST_LEAF_ASSIGN(page.changes, readChanges(changes, page));
    return page;
}

Result<HostList> parseHostList(const std::string &json)
{
    BOOST_LEAF_AUTO(tree, readStrictJson(json, {MaxPageBytes, std::nullopt}));
    const JsonNode root{&tree, "/"};
    HostList list;
    BOOST_LEAF_AUTO(revision, member(root, "revision"));
    BOOST_LEAF_ASSIGN(list.revision, asInteger(revision, 0, NoLimit));
    BOOST_LEAF_AUTO(hosts, member(root, "hosts"));
    BOOST_LEAF_AUTO(entries, elements(hosts, MaxHosts));
    std::set<std::string> names;
    for (const auto &entry : entries) {
        BOOST_LEAF_AUTO(host, readHost(entry));
        if (!names.insert(host.host).second) {
            return nodeError(entry, "the host " + host.host + " is listed twice", "list each host once");
        }
        list.hosts.push_back(std::move(host));
    }
    return list;
}

} // namespace Fescuenotch
