// The documents that the platform publishes (profiles and services), their versions, and the platform's responses.
//
// Usage: `parseProfile` and `parseService` parse and validate the JSON text of one value; `parseConfigPage` and `parseHostList`
// do the same for a response body of the platform.
// Errors: InvalidDocument. Its text starts with the JSON pointer of the invalid value; its remedy states what is allowed.
// Pitfalls: the first error rejects the whole document. Unknown fields of profiles and services are errors; unknown fields of
// the platform's responses are ignored.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "kernel/errors.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

/// Version of one key or of the whole configuration. Ordered by epoch, then by revision.
struct Version {
    std::uint64_t epoch = 0; ///< incremented when the platform is restored from a backup
    std::uint64_t revision = 0; ///< incremented by each accepted change
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 reports the 0 in a defaulted <=> as a null pointer
    auto operator<=>(const Version &) const = default;
};
/// Formats a version as "EPOCH.REVISION".
std::string toString(Version version);

/// One version of one key. A record without value is a tombstone: the key was withdrawn.
struct Record {
    std::string key; ///< "profile/NAME" or "service/NAME"
    Version version;
    std::optional<std::string> value; ///< JSON text, at most 1 MiB
    bool operator==(const Record &) const = default;
};

enum class SpreadMode { Time, Bytes };
enum class RequestClass { Lookup, Read, Write, Bulk };
const char *requestClassName(RequestClass requestClass);

struct Route {
    std::string pathPrefix; ///< starts with '/'; the longest matching prefix wins
    std::vector<std::string> methods; ///< empty: all methods
    std::string service; ///< name of a service document
    std::string rule; ///< name of a rule in the same profile
};

struct Rule {
    bool idempotent = false; ///< false: not retried once an attempt may have been executed
    milliseconds timeout{1'000}; ///< ms; 1 to 600000
    unsigned maxAttempts = 1; ///< 1 to 10
    RequestClass requestClass = RequestClass::Read;
};

struct Profile {
    SpreadMode spread = SpreadMode::Time;
    std::vector<Route> routes;
    std::map<std::string, Rule> rules;
};

struct TargetEntry {
    std::string host; ///< IPv4 address of the host; the node on it is the exit node
    std::string dataCentre;
    Endpoint address; ///< listening address of the target
    unsigned slots = 1; ///< maximum concurrent requests, 1 to 10000
    unsigned connections = 1; ///< maximum concurrent connections, 1 to 10000
};

struct Service {
    std::string profile; ///< name of the profile that applies to this service
    std::vector<TargetEntry> targets;
};

Result<Profile> parseProfile(const std::string &json);
Result<Service> parseService(const std::string &json);

/// One page of the platform's response to GET /v1/config.
struct ConfigPage {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0; ///< of the platform's store when it sent the page
    bool complete = false; ///< the page is part of a listing of all keys; its later pages may lack the mark, see Listing
    bool more = false; ///< another page follows; request it after the revision of the last change
    std::vector<Record> changes;
    std::optional<std::uint64_t> after = std::nullopt; ///< revision after which the page was requested, set by the requester; none: unknown
};

enum class HostState { Live, Leaving };
struct HostEntry {
    std::string host; ///< IPv4 address
    std::string dataCentre;
    std::string service;
    Endpoint peer; ///< address on which its node accepts peer connections
    HostState state = HostState::Live;
};

/// The platform's response to GET /v1/hosts.
struct HostList {
    std::uint64_t revision = 0;
    std::vector<HostEntry> hosts;
};

Result<ConfigPage> parseConfigPage(const std::string &json);
Result<HostList> parseHostList(const std::string &json);

} // namespace Fescuenotch
