// Child processes of tests and the bench. Each object ends only the process that it started, by its id.
//
// How to use: `ChildProcess child(command); child.start(); child.waitForText("ready", seconds(5));`. Output of both
// streams goes to `logFile`. A child dies with the process that started it.
#pragma once

#include "kernel/clock.h"
#include "kernel/errors.h"

#include <sys/types.h>

#include <string>
#include <vector>

namespace Fescuenotch::Standins {

struct ProcessCommand {
    std::string program; ///< path
    std::vector<std::string> args; ///< without the program
    std::string logFile; ///< appended to
    std::vector<std::string> environment = {}; ///< NAME=value, added to the environment of this process
};

class ChildProcess
{
public:
    explicit ChildProcess(const ProcessCommand &command);
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ~ChildProcess(); ///< kills it
    Result<void> start(); ///< error InvalidInput
    bool running();
    pid_t pid() const; ///< 0 when none was started
    void signal(int number); ///< nothing when it does not run
    /// Waits for its end; true when it ended in time.
    bool waitForEnd(milliseconds timeout);
    /// Exit code, or 128 + signal; -1 while it runs.
    int exitCode() const;
    /// Waits until its log since this start has `text`. False when it ended or the time passed.
    bool waitForText(const std::string &text, milliseconds timeout);
    std::size_t logStart() const; ///< bytes in the log before this start

private:
    bool reap(bool block);
    ProcessCommand m_command;
    pid_t m_pid = 0;
    bool m_running = false;
    int m_exitCode = -1;
    std::size_t m_logStart = 0; ///< bytes in the log before this start
};

/// Folder of the built programs: FESCUENOTCH_BUILD, or "build".
std::string buildFolder();
/// Whole contents of a file from an offset; empty when it cannot be read.
std::string readFile(const std::string &path, std::size_t from = 0);

} // namespace Fescuenotch::Standins
