// Load on the callers' side of nodes, in the background, with every answer checked.
//
// How to use: `Load load(settings)` starts its threads; `finish()` ends them and gives the result. Each request carries a
// token of its own; a read must give it back, a write is looked up in the targets' journals afterwards. Nothing is sent
// twice by the load itself.
#pragma once

#include "kernel/clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Fescuenotch::Scenarios {

enum class LoadKind { Reads, Writes, Archives };

struct LoadSettings {
    std::string name; ///< start of each token
    LoadKind kind = LoadKind::Reads;
    std::vector<std::string> urls; ///< callers' addresses of nodes with the service's path, used in turn
    unsigned rate = 100; ///< requests per second, over all threads
    std::uint64_t count = 0; ///< requests; 0: until `finish`
    std::uint64_t archiveBytes = 1'000'000; ///< bytes of each archive
};

/// How a caller saw a request end.
enum class CallEnd {
    Ran,
    NotRun,
    Unknown, ///< the node said so
    Cut, ///< the connection broke or the time passed without a whole answer
    Unreachable, ///< no connection to the node: certainly not sent
};

struct LoadResult {
    std::uint64_t sent = 0;
    std::map<CallEnd, std::uint64_t> ends;
    std::map<std::string, CallEnd> writes; ///< by token
    std::vector<std::string> wrong; ///< answers that were not the request's own, or not whole though they ended well
    std::map<std::string, std::uint64_t> reasons; ///< why not-run or unknown, as the node said
    std::uint64_t count(CallEnd end) const;
    std::string summary() const; ///< one line
};

class Load
{
public:
    explicit Load(const LoadSettings &settings);
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;
    ~Load();
    /// Ends the load (or, when it has a count, waits for its end) and gives the result. May be called again.
    const LoadResult &finish();

private:
    void run(unsigned thread);
    void callOnce(class CallMaker &maker, std::uint64_t number);

    LoadSettings m_settings;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_next{0};
    TimePoint m_start;
    std::vector<std::thread> m_threads;
    std::mutex m_lock;
    LoadResult m_result;
};

} // namespace Fescuenotch::Scenarios
