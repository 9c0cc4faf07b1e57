#include "standins/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <thread>

namespace Fescuenotch::Standins {

namespace {

constexpr milliseconds PollPeriod{2}; ///< ms
constexpr milliseconds KillWait{5'000}; ///< ms

/// The child's part between fork and exec: only calls that are safe there.
[[noreturn]] void runChild(int log, char *const *argv, char *const *environment, pid_t parent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(127);
    }
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(argv[0], argv, environment);
    _exit(127);
}

/// The environment without the variables that only tests read; a node refuses those that it does not know.
std::vector<char *> childEnvironment(std::vector<std::string> &added)
{
    std::vector<char *> kept;
    kept.reserve(added.size());
    for (auto &each : added) {
        kept.push_back(each.data());
    }
    for (char **it = environ; *it != nullptr; ++it) {
        const std::string_view entry = *it;
        const bool ours = entry.rfind("FESCUENOTCH_BUILD=", 0) == 0 || entry.rfind("FESCUENOTCH_TEST_NET=", 0) == 0;
        if (!ours) {
            kept.push_back(*it);
        }
    }
    kept.push_back(nullptr);
    return kept;
}

} // namespace

ChildProcess::ChildProcess(const ProcessCommand &command)
    : m_command(command)
{
}

ChildProcess::~ChildProcess()
{
    signal(SIGKILL);
    waitForEnd(KillWait);
}

Result<void> ChildProcess::start()
{
    const int log = open(m_command.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0) {
        return fail(ErrorKind::InvalidInput, m_command.logFile + ": cannot be written", "give a file in a folder that exists");
    }
    m_logStart = static_cast<std::size_t>(std::filesystem::file_size(m_command.logFile));
    std::vector<char *> argv{m_command.program.data()};
    for (auto &arg : m_command.args) {
        argv.push_back(arg.data());
    }
    argv.push_back(nullptr);
    const auto environment = childEnvironment(m_command.environment);
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child == 0) {
        runChild(log, argv.data(), environment.data(), parent);
    }
    close(log);
    if (child < 0) {
        return fail(ErrorKind::InvalidInput, m_command.program + ": cannot be started", "check that it was built");
    }
    m_pid = child;
    m_running = true;
    m_exitCode = -1;
    return {};
}

bool ChildProcess::reap(bool block)
{
    int status = 0;
    if (!m_running || waitpid(m_pid, &status, block ? 0 : WNOHANG) != m_pid) {
        return false;
    }
    m_running = false;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return true;
}

bool ChildProcess::running()
{
    reap(false);
    return m_running;
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

void ChildProcess::signal(int number)
{
    if (running()) {
        kill(m_pid, number);
    }
}

bool ChildProcess::waitForEnd(milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    while (running() && Clock::now() < until) {
        std::this_thread::sleep_for(PollPeriod);
    }
    return !m_running;
}

int ChildProcess::exitCode() const
{
    return m_exitCode;
}

bool ChildProcess::waitForText(const std::string &text, milliseconds timeout)
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        const bool alive = running();
        if (readFile(m_command.logFile, m_logStart).find(text) != std::string::npos) {
            return true;
        }
        if (!alive) {
            return false;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return false;
}

std::size_t ChildProcess::logStart() const
{
    return m_logStart;
}

std::string buildFolder()
{
    const char *folder = std::getenv("FESCUENOTCH_BUILD");
    return folder == nullptr ? "build" : folder;
}

std::string readFile(const std::string &path, std::size_t from)
{
    std::ifstream file(path, std::ios::binary);
    file.seekg(static_cast<std::streamoff>(from));
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace Fescuenotch::Standins
