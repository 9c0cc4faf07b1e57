// A stand-in for the platform's store, in the platform's manner: items with revisions, pages, watches, and its faults.
//
// How to use: `put` and `remove` items as the operator and the targets do; point a node at `endpoint()`. Faults are set
// with `fault`. All functions may be called from any thread.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "standins/httpserver.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Fescuenotch::Tests {

enum class StoreFault { None, Busy, Limited, Lost };

class StoreStandin
{
public:
    explicit StoreStandin(const Endpoint &endpoint);
    ~StoreStandin(); ///< ends watches that wait
    std::uint64_t put(const std::string &key, const std::string &value); ///< gives the revision
    std::uint64_t remove(const std::string &key);
    void fault(StoreFault kind);
    void forgetHistory(); ///< watches from before are answered 410
    /// Keeps a copy of the items, to which `restore` returns.
    void snapshot();
    /// Answers reads with allow_stale from the snapshot, with the revision of now.
    void answerStaleReadsFromSnapshot();
    /// Loses all that was written since `snapshot`, goes on with the revision after it, and raises the era. Pending watches are cut.
    void restore();
    /// Value of the header Store-Era in the answers that follow; none: no such header. `restore` states the true one again.
    void stateEra(const std::optional<std::string> &value);
    void setPageItems(std::size_t items);
    unsigned calls(const std::string &path) const;
    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    struct Item {
        std::optional<std::string> value; ///< none: removed
        std::uint64_t revision = 0;
    };

    Standins::ServerReply answer(const Standins::ServerCall &call);
    Standins::ServerReply answerWithoutEra(const Standins::ServerCall &call);
    Standins::ServerReply answerKey(const Standins::ServerCall &call);
    Standins::ServerReply answerRange(const Standins::ServerCall &call);
    Standins::ServerReply answerWatch(const Standins::ServerCall &call);

    Endpoint m_endpoint;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 10;
    std::uint64_t m_era = 1;
    std::optional<std::string> m_statedEra = "1";
    std::map<std::string, Item> m_copiedItems;
    std::uint64_t m_copiedRevision = 0;
    std::uint64_t m_oldestHistory = 0; ///< revisions below are forgotten
    bool m_staleReadsFromSnapshot = false;
    std::size_t m_pageItems = 500;
    StoreFault m_fault = StoreFault::None;
    std::map<std::string, unsigned> m_calls; ///< by path
    std::unique_ptr<Standins::HttpServer> m_server;
};

/// Entry of a target in the store.
std::string entryText(const std::string &service, const Endpoint &address, const std::string &zone, const std::string &state = "ready");

/// A configuration for host "desk": /read/ (idempotent) to `readService`, /file/ (non-idempotent) to "desk", /feed/ (download) to
/// "feed".
std::string configurationText(std::uint64_t version, const std::string &readService, milliseconds timeout);

/// The same with what the target says of its own lifetime.
struct EntryStatement {
    std::int64_t bornMs = 1'700'000'000'000; ///< ms since the Unix epoch
    std::uint64_t sequence = 1;
};
std::string entryText(const std::string &service, const Endpoint &address, const std::string &zone, const std::string &state, const EntryStatement &statement);

} // namespace Fescuenotch::Tests
