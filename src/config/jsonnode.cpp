#include "config/jsonnode.h"

#include "config/strictjson.h"

#include <algorithm>
#include <cctype>

namespace Fescuenotch {

namespace {

constexpr std::size_t MaxQuotedLength = 60; ///< characters of an invalid value quoted in an error

std::string abbreviated(const nlohmann::json &value)
{
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > MaxQuotedLength) {
        text = text.substr(0, MaxQuotedLength) + "...";
    }
    return text;
}

leaf::error_id valueError(const JsonNode &node, const std::string &remedy)
{
    return nodeError(node, abbreviated(*node.value) + " is not allowed", remedy);
}

std::string commaSeparated(const std::vector<std::string> &names)
{
    std::string text;
    for (const auto &name : names) {
        text += text.empty() ? name : ", " + name;
    }
    return text;
}

} // namespace

bool isDocumentName(std::string_view text)
{
    const auto isAllowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), isAllowed);
}

leaf::error_id nodeError(const JsonNode &node, const std::string &what, const std::string &remedy)
{
    return fail(ErrorKind::InvalidDocument, node.pointer + ": " + what, remedy);
}

Result<std::vector<std::pair<std::string, JsonNode>>> members(const JsonNode &node, std::size_t max)
{
    if (!node.value->is_object()) {
        return valueError(node, "use an object");
    }
    if (node.value->size() > max) {
        return nodeError(node, std::to_string(node.value->size()) + " members exceed the limit", "use at most " + std::to_string(max));
    }
    std::vector<std::pair<std::string, JsonNode>> found;
    for (const auto &[name, value] : node.value->items()) {
        found.emplace_back(name, JsonNode{&value, pointerOf(node.pointer, name)});
    }
    return found;
}

Result<std::vector<JsonNode>> elements(const JsonNode &node, std::size_t max)
{
    if (!node.value->is_array()) {
        return valueError(node, "use an array");
    }
    if (node.value->size() > max) {
        return nodeError(node, std::to_string(node.value->size()) + " elements exceed the limit", "use at most " + std::to_string(max));
    }
    std::vector<JsonNode> found;
    for (const auto &value : *node.value) {
        found.push_back({&value, pointerOf(node.pointer, std::to_string(found.size()))});
    }
    return found;
}

Result<void> rejectUnknownMembers(const JsonNode &node, const std::vector<std::string> &allowed)
{
    if (!node.value->is_object()) {
        return valueError(node, "use an object with " + commaSeparated(allowed));
    }
    for (const auto &[name, value] : node.value->items()) {
        if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
            return fail(ErrorKind::InvalidDocument, pointerOf(node.pointer, name) + ": unknown field", "use only " + commaSeparated(allowed));
        }
    }
    return {};
}

Result<JsonNode> member(const JsonNode &node, const std::string &name)
{
    if (!node.value->is_object()) {
        return valueError(node, "use an object with " + name);
    }
    const auto found = findMember(node, name);
    if (!found) {
        return fail(ErrorKind::InvalidDocument, pointerOf(node.pointer, name) + ": missing", "add " + name);
    }
    return *found;
}

std::optional<JsonNode> findMember(const JsonNode &node, const std::string &name)
{
    const auto it = node.value->find(name);
    if (it == node.value->end()) {
        return std::nullopt;
    }
    return JsonNode{&*it, pointerOf(node.pointer, name)};
}

Result<std::string> asString(const JsonNode &node)
{
    if (!node.value->is_string()) {
        return valueError(node, "use a string");
    }
    return node.value->get<std::string>();
}

Result<std::string> asName(const JsonNode &node)
{
    if (!node.value->is_string() || !isDocumentName(node.value->get_ref<const std::string &>())) {
        return valueError(node, "use 1 to " + std::to_string(MaxNameLength) + " letters, digits, '-', '_' or '.'");
    }
    return node.value->get<std::string>();
}

Result<std::string> asIpv4Address(const JsonNode &node)
{
    if (!node.value->is_string() || !isIpNumber(node.value->get_ref<const std::string &>())) {
        return valueError(node, "use an IPv4 address, such as 127.1.0.11");
    }
    return node.value->get<std::string>();
}

Result<Endpoint> asEndpoint(const JsonNode &node)
{
    BOOST_LEAF_AUTO(text, asString(node));
    const auto parsed = valueOrError([&] { return parseEndpoint(text); });
    if (parsed.index() != 0) {
        return valueError(node, "use an IPv4 address and a port from 1 to 65535, such as 127.1.0.11:9000");
    }
    return std::get<0>(parsed);
}

Result<bool> asBool(const JsonNode &node)
{
    if (!node.value->is_boolean()) {
        return valueError(node, "use true or false");
    }
    return node.value->get<bool>();
}

Result<std::uint64_t> asInteger(const JsonNode &node, std::uint64_t low, std::uint64_t high)
{
    const bool inRange = node.value->is_number_unsigned() && node.value->get<std::uint64_t>() >= low && node.value->get<std::uint64_t>() <= high;
    if (!inRange) {
        return valueError(node, "use an integer from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return node.value->get<std::uint64_t>();
}

Result<std::size_t> asEnumIndex(const JsonNode &node, const std::vector<std::string> &allowed)
{
    const auto it = node.value->is_string() ? std::find(allowed.begin(), allowed.end(), node.value->get_ref<const std::string &>()) : allowed.end();
    if (it == allowed.end()) {
        return valueError(node, "use one of " + commaSeparated(allowed));
    }
    return static_cast<std::size_t>(it - allowed.begin());
}

} // namespace Fescuenotch
