#include "tests/scenarios/script.h"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>

namespace Fescuenotch::Scenarios {

namespace {

namespace x3 = boost::spirit::x3;

struct Word {
    std::string text;
    unsigned column = 0; ///< from 1
};
using Words = std::vector<Word>;

Words splitWords(const std::string &line)
{
    Words words;
    const auto add = [&](auto &context) {
        const auto range = x3::_attr(context);
        words.push_back({std::string(range.begin(), range.end()), static_cast<unsigned>(range.begin() - line.begin()) + 1});
    };
    const auto word = x3::raw[+(x3::graph - '#')];
    const auto comment = '#' >> *x3::char_;
    x3::parse(line.begin(), line.end(), *(word[add] | +x3::space) >> -comment);
    return words;
}

/// Furthest point that any pattern reached, and what it wanted there.
struct Expectation {
    std::size_t word = 0;
    std::vector<std::string> wanted;

    void miss(std::size_t at, const std::string &what)
    {
        if (at > word) {
            wanted.clear();
            word = at;
        }
        if (at == word && std::find(wanted.begin(), wanted.end(), what) == wanted.end()) {
            wanted.push_back(what);
        }
    }
};

/// Reads the words of one line against one pattern.
class Matcher
{
public:
    Matcher(const Words &words, Expectation &expectation)
        : m_words(words)
        , m_expectation(expectation)
    {
    }

    std::optional<StepArguments> match(const Words &pattern)
    {
        for (const auto &part : pattern) {
            if (!matchPart(part.text)) {
                return std::nullopt;
            }
        }
        if (m_at < m_words.size()) {
            m_expectation.miss(m_at, "the end of the line");
            return std::nullopt;
        }
        return m_arguments;
    }

private:
    bool matchPart(const std::string &part)
    {
        if (part == "<name>") {
            return readName("a name", m_arguments.names.emplace_back());
        }
        if (part == "<number>") {
            return readNumber(m_arguments.numbers.emplace_back());
        }
        if (part == "<time>") {
            return readTime(m_arguments.times.emplace_back());
        }
        if (part == "<processes>") {
            return readProcesses(m_arguments.processes.emplace_back());
        }
        if (part == "<link>") {
            return readLink(m_arguments.links.emplace_back());
        }
        return literal(part);
    }

    /// The word here, empty after the last one.
    std::string peek() const
    {
        return m_at < m_words.size() ? m_words[m_at].text : "";
    }

    bool miss(const std::string &what)
    {
        m_expectation.miss(m_at, what);
        return false;
    }

    bool literal(const std::string &text)
    {
        if (peek() != text) {
            return miss("'" + text + "'");
        }
        ++m_at;
        return true;
    }

    bool optionalLiteral(const std::string &text)
    {
        const bool found = peek() == text;
        m_at += found ? 1 : 0;
        return found;
    }

    bool readName(const std::string &what, std::string &name)
    {
        name = peek();
        if (name.empty()) {
            return miss(what);
        }
        ++m_at;
        return true;
    }

    bool readNumber(std::uint64_t &number)
    {
        const auto text = peek();
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (ec != std::errc() || end != text.data() + text.size()) {
            return miss("a whole number");
        }
        ++m_at;
        return true;
    }

    bool readTime(milliseconds &time)
    {
        const auto text = peek();
        std::int64_t number = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        const std::string unit(end, text.data() + text.size());
        if (ec != std::errc() || number < 0 || number > 600'000 || (unit != "ms" && unit != "s")) {
            return miss("a time such as 250ms or 6s");
        }
        time = unit == "s" ? milliseconds(number * 1'000) : milliseconds(number);
        ++m_at;
        return true;
    }

    bool readHost(ProcessSet &set)
    {
        std::uint64_t number = 0;
        if (!readNumber(number)) {
            return false;
        }
        set.number = static_cast<unsigned>(number);
        return literal("of") && readName("a data centre", set.dataCentre);
    }

    bool readKind(ProcessSet &set)
    {
        if (optionalLiteral("target")) {
            set.kind = ProcessKind::Target;
            return true;
        }
        return optionalLiteral("node") || miss("'node' or 'target'");
    }

    bool readProcesses(ProcessSet &set)
    {
        if (optionalLiteral("platform")) {
            set.kind = ProcessKind::Platform;
            return true;
        }
        if (optionalLiteral("every")) {
            if (!readKind(set)) {
                return false;
            }
            set.but = optionalLiteral("but");
            return !set.but || readHost(set);
        }
        const auto word = peek();
        if (word == "nodes" || word == "targets" || word == "readers") {
            ++m_at;
            set.kind = word == "targets" ? ProcessKind::Target : ProcessKind::Node;
            set.readersOnly = word == "readers";
            return literal("of") && readName("a data centre", set.dataCentre);
        }
        if (word != "node" && word != "target") {
            return miss("processes such as 'every node', 'nodes of DC' or 'target 1 of DC'");
        }
        return readKind(set) && readHost(set);
    }

    bool readLink(LinkName &link)
    {
        if (!literal("link") || !literal("to")) {
            return false;
        }
        if (optionalLiteral("platform")) {
            return literal("of") && readName("a data centre", link.dataCentre);
        }
        if (!literal("target")) {
            return miss("'platform'");
        }
        ProcessSet host;
        if (!readHost(host)) {
            return false;
        }
        link = {host.dataCentre, host.number};
        return true;
    }

    const Words &m_words;
    Expectation &m_expectation;
    std::size_t m_at = 0;
    StepArguments m_arguments;
};

std::string joinWanted(const std::vector<std::string> &wanted)
{
    std::string text;
    for (std::size_t n = 0; n < wanted.size(); ++n) {
        text += (n == 0 ? "" : n + 1 == wanted.size() ? " or " : ", ") + wanted[n];
    }
    return text;
}

ScriptFault faultOf(unsigned line, const Words &words, const Expectation &expectation)
{
    const bool atEnd = expectation.word >= words.size();
    const auto &last = words.back();
    const auto column = atEnd ? last.column + static_cast<unsigned>(last.text.size()) : words[expectation.word].column;
    const auto found = atEnd ? std::string("the end of the line") : "'" + words[expectation.word].text + "'";
    return {line, column, "found " + found + " where " + joinWanted(expectation.wanted) + " was expected"};
}

} // namespace

std::variant<std::vector<Step>, ScriptFault> parseScript(const std::string &text, const std::vector<std::string> &patterns)
{
    std::vector<Words> split;
    split.reserve(patterns.size());
    for (const auto &pattern : patterns) {
        split.push_back(splitWords(pattern));
    }
    std::vector<Step> steps;
    std::istringstream lines(text);
    std::string line;
    for (unsigned number = 1; std::getline(lines, line); ++number) {
        const auto words = splitWords(line);
        if (words.empty()) {
            continue;
        }
        Expectation expectation;
        std::optional<Step> step;
        for (std::size_t n = 0; n < split.size() && !step; ++n) {
            if (auto arguments = Matcher(words, expectation).match(split[n])) {
                const auto start = words.front().column - 1;
                const auto end = words.back().column - 1 + words.back().text.size();
                step = Step{number, line.substr(start, end - start), n, std::move(*arguments)};
            }
        }
        if (!step) {
            return faultOf(number, words, expectation);
        }
        steps.push_back(std::move(*step));
    }
    return steps;
}

} // namespace Fescuenotch::Scenarios
