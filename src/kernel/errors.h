// Error kinds of the whole program, carried by Boost.LEAF.
//
// How to use:
//   Result<Profile> parseProfile(...) { return fail(ErrorKind::InvalidDocument, "/rules/read/timeout_ms: 0 is out of range", "use 1 to 600000"); }
//   leaf::try_handle_all([&]() -> Result<void> { BOOST_LEAF_AUTO(p, parseProfile(..)); ... }, [](const Error &e) { ... }, [] { ... });
//   auto e = valueOrError([&] { return parseProfile(..); }); // std::variant<Profile, Error>
//
// Pitfall: LEAF drops an error object nobody waits for. Call a failing function inside `valueOrError` or a
// `try_handle_*` block, or the message is lost and only the failure remains.
#pragma once

#include <boost/leaf.hpp>

#include <chrono>
#include <exception>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace Fescuenotch {

namespace leaf = boost::leaf;

/// What went wrong, as a kind that code can branch on.
enum class ErrorKind {
    InvalidSetting, ///< a flag, environment variable or their combination
    InvalidDocument, ///< a profile or service document
    InvalidFrame, ///< bytes from a peer that do not verify
    PlatformUnavailable, ///< no answer, 503, or a broken answer of the platform
    PlatformLimited, ///< 429 of the platform, or the node's own call limit
    PeerUnavailable, ///< no link to a peer
    ListenFailed, ///< an address cannot be bound
    UnknownPlugin, ///< no plug-in of that name is registered
    InvalidInput, ///< a file or argument given to a tool
    Internal, ///< an exception of a library, or a defect
};

/// Short stable name of a kind, used in logs and counters, e.g. "invalid-setting".
const char *errorKindName(ErrorKind kind);

/// An error: its kind, what was seen, and what the reader can do about it.
struct Error {
    ErrorKind kind = ErrorKind::InvalidInput;
    std::string what; ///< what was seen, with the offending value
    std::string remedy; ///< what to do
    std::chrono::milliseconds retryAfter{0}; ///< ms; how long the other side asked to wait, 0 when it did not say
};

/// "what; remedy" in one line.
std::string describe(const Error &error);

template<typename T>
using Result = leaf::result<T>;

/// Fails with a typed error.
inline leaf::error_id fail(ErrorKind kind, std::string what, std::string remedy)
{
    return leaf::new_error(Error{kind, std::move(what), std::move(remedy), {}});
}

/// The error for an exception that left a function which should return its errors.
Error internalError(const std::exception &e);

/// Runs `f`, which returns Result<T>, and gives its value or its error, never losing the message. An exception becomes an error of kind
/// Internal, so that a document which trips a library does not end the process.
template<typename F>
auto valueOrError(F &&f)
{
    using T = std::decay_t<decltype(f().value())>;
    using Either = std::variant<T, Error>;
    return leaf::try_handle_all(
        [&]() -> Result<Either> {
            try {
                auto r = f();
                if (!r) {
                    return r.error();
                }
                return Either(std::in_place_index<0>, std::move(r).value());
            } catch (const std::exception &e) {
                return Either(std::in_place_index<1>, internalError(e));
            }
        },
        [](const Error &error) { return Either(std::in_place_index<1>, error); },
        [] {
            return Either(std::in_place_index<1>, Error{ErrorKind::InvalidInput, "an error without a description", "report it as a defect", {}});
        });
}

/// As valueOrError for Result<void>: the error, or nothing when it succeeded.
template<typename F>
std::optional<Error> errorOf(F &&f)
{
    return leaf::try_handle_all(
        [&]() -> Result<std::optional<Error>> {
            auto r = f();
            if (!r) {
                return r.error();
            }
            return std::optional<Error>();
        },
        [](const Error &error) { return std::optional<Error>(error); },
        [] {
            return std::optional<Error>(Error{ErrorKind::InvalidInput, "an error without a description", "report it as a defect", {}});
        });
}

} // namespace Fescuenotch
