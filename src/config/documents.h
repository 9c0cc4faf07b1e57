// Documents as the platform publishes them: profiles and services, their versions and records.
//
// How to use: `parseProfile` and `parseService` turn the JSON text of one value into a checked aggregate, or fail with an
// InvalidDocument error whose text starts with the JSON pointer of the fault and whose remedy says what is allowed.
// A document is taken whole or not at all; unknown fields are refused.
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

/// A version of one key or of the whole configuration. The epoch is compared before the revision.
struct Version {
    std::uint64_t epoch = 0; ///< raised by a platform that was restored from a backup
    std::uint64_t revision = 0; ///< raised by each accepted change
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted <=> for a null pointer
    auto operator<=>(const Version &) const = default;
};
/// "EPOCH.REVISION".
std::string toString(Version version);

/// One key at one version. A value is JSON text; none means withdrawn (a tombstone).
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
    std::string pathPrefix; ///< starts with '/'; the longest prefix wins
    std::vector<std::string> methods; ///< empty: every method
    std::string service; ///< name of a service document
    std::string rule; ///< name of a rule of the same profile
};

struct Rule {
    bool idempotent = false; ///< false: at most one attempt that may have run
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
    std::string host; ///< IPv4 number of the host; its node is the exit node
    std::string dataCentre;
    Endpoint address; ///< where the target listens
    unsigned slots = 1; ///< requests at once, 1 to 10000
    unsigned connections = 1; ///< connections at once, 1 to 10000
};

struct Service {
    std::string profile; ///< the profile that this service follows
    std::vector<TargetEntry> targets;
};

Result<Profile> parseProfile(const std::string &json);
Result<Service> parseService(const std::string &json);

/// One page of the platform's answer to GET /v1/config.
struct ConfigPage {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0; ///< of the platform's store
    bool complete = false; ///< the page is (part of) everything, not a difference
    bool more = false; ///< ask again after the last change's revision
    std::vector<Record> changes;
    std::optional<std::uint64_t> after = std::nullopt; ///< revision that was asked after, set by whoever asked; none: not known
};

enum class HostState { Live, Leaving };
struct HostEntry {
    std::string host; ///< IPv4 number
    std::string dataCentre;
    std::string service;
    Endpoint peer; ///< where its node listens for peers
    HostState state = HostState::Live;
};

/// The platform's answer to GET /v1/hosts.
struct HostList {
    std::uint64_t revision = 0;
    std::vector<HostEntry> hosts;
};

Result<ConfigPage> parseConfigPage(const std::string &json);
Result<HostList> parseHostList(const std::string &json);

} // namespace Fescuenotch
