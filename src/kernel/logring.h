// A bounded store of log lines with a thread that writes them out, so that logging never waits for whoever reads them.
//
// How to use: `push` lines from any thread; the writer thread writes them in batches. While the reader does not keep up,
// lines of less weight are dropped first, and a line `event=log_lines_dropped` says how many.
// Pitfall: what is still stored when the process is killed is lost; `stop` writes it out for a regular end.
#pragma once

#include "kernel/clock.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace Fescuenotch {

struct LogRingSettings {
    int fd = 1; ///< file descriptor written to
    std::size_t capacity = 512 * 1024; ///< bytes of lines kept for the writer
    double ordinaryShare = 0.75; ///< of the capacity that lines below warning may fill
    milliseconds writePeriod{50}; ///< ms; lines wait at most about so long, so that one write takes many
};

class LogRing
{
public:
    explicit LogRing(const LogRingSettings &settings);
    ~LogRing();
    /// Never blocks for longer than another `push` takes. `important`: warnings and errors.
    void push(std::string line, bool important);
    /// Writes out what is there, for at most `limit`, and ends the thread.
    void stop(milliseconds limit);
    std::uint64_t dropped() const;

private:
    void work();
    std::string takeBatch();

    LogRingSettings m_settings;
    mutable std::mutex m_mutex; ///< guards all below
    std::condition_variable m_changed;
    std::deque<std::string> m_lines;
    std::size_t m_bytes = 0; ///< in m_lines
    std::uint64_t m_dropped = 0; ///< since the start
    std::uint64_t m_droppedTold = 0; ///< of these, told in a line
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Fescuenotch
