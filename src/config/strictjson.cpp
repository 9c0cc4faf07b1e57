// Sections: [text of a kept member] [tree builder] [entry point]
#include "config/strictjson.h"

#include <vector>

namespace Fescuenotch {

namespace {

using nlohmann::json;

std::string jsonQuoted(const std::string &text)
{
    return json(text).dump();
}

// ---- [text of a kept member] ------------------------------------------------------------------------------------

/// Writes parser events back as JSON text.
class TextWriter
{
public:
    bool active() const
    {
        return !m_closers.empty();
    }
    void open(bool isObject)
    {
        separate();
        m_text += isObject ? '{' : '[';
        m_closers += isObject ? '}' : ']';
        m_first = true;
    }
    void key(const std::string &name)
    {
        separate();
        m_text += jsonQuoted(name) + ":";
        m_first = true;
    }
    void scalar(const std::string &text)
    {
        separate();
        m_text += text;
    }
    /// True when the outermost container was closed.
    bool close()
    {
        m_text += m_closers.back();
        m_closers.pop_back();
        m_first = false;
        return m_closers.empty();
    }
    std::string take()
    {
        m_first = true;
        return std::exchange(m_text, {});
    }

private:
    void separate()
    {
        if (!m_first) {
            m_text += ',';
        }
        m_first = false;
    }

    std::string m_text;
    std::string m_closers;
    bool m_first = true;
};

// ---- [tree builder] ---------------------------------------------------------------------------------------------

struct Frame {
    json value;
    std::string key; ///< of the member being read, in an object
};

struct Fault {
    std::string what;
    std::string remedy;
};

class TreeBuilder : public nlohmann::json_sax<json>
{
public:
    explicit TreeBuilder(const JsonRules &rules)
        : m_rules(rules)
    {
    }

    bool null() override
    {
        return m_text.active() ? textScalar("null") : add(nullptr);
    }
    bool boolean(bool value) override
    {
        return keptAsText() ? textScalar(value ? "true" : "false") : add(value);
    }
    bool number_integer(number_integer_t value) override
    {
        return keptAsText() ? textScalar(std::to_string(value)) : add(value);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return keptAsText() ? textScalar(std::to_string(value)) : add(value);
    }
    bool number_float(number_float_t value, const string_t &text) override
    {
        return keptAsText() ? textScalar(text) : add(value);
    }
    bool string(string_t &value) override
    {
        return keptAsText() ? textScalar(jsonQuoted(value)) : add(std::move(value));
    }
    bool binary(binary_t &) override
    {
        return false;
    }
    bool start_object(std::size_t) override
    {
        return start(json::object());
    }
    bool start_array(std::size_t) override
    {
        return start(json::array());
    }
    bool end_object() override
    {
        return end();
    }
    bool end_array() override
    {
        return end();
    }
    bool key(string_t &name) override;
    bool parse_error(std::size_t position, const std::string &token, const nlohmann::detail::exception &error) override;

    json &tree()
    {
        return m_tree;
    }
    const std::optional<Fault> &fault() const
    {
        return m_fault;
    }

private:
    bool keptAsText() const;
    bool textScalar(const std::string &text);
    bool start(json empty);
    bool end();
    bool add(json value);
    bool refuse(const std::string &pointer, const std::string &what, const std::string &remedy);
    std::string pointer() const;

    const JsonRules &m_rules;
    std::vector<Frame> m_frames;
    TextWriter m_text;
    json m_tree;
    std::optional<Fault> m_fault;
};

bool TreeBuilder::keptAsText() const
{
    if (m_text.active()) {
        return true;
    }
    if (!m_rules.keptAsText || m_frames.size() != m_rules.keptAsText->depth || !m_frames.back().value.is_object()) {
        return false;
    }
    return m_rules.keptAsText->name.empty() || m_rules.keptAsText->name == m_frames.back().key;
}

bool TreeBuilder::textScalar(const std::string &text)
{
    m_text.scalar(text);
    return m_text.active() || add(m_text.take());
}

bool TreeBuilder::start(json empty)
{
    if (keptAsText()) {
        m_text.open(empty.is_object());
        return true;
    }
    if (m_frames.size() >= MaxJsonDepth) {
        return refuse(pointer(), "nested too deep", "use at most " + std::to_string(MaxJsonDepth) + " levels");
    }
    m_frames.push_back({std::move(empty), {}});
    return true;
}

bool TreeBuilder::end()
{
    if (m_text.active()) {
        return !m_text.close() || add(m_text.take());
    }
    json value = std::move(m_frames.back().value);
    m_frames.pop_back();
    return add(std::move(value));
}

bool TreeBuilder::add(json value)
{
    if (m_frames.empty()) {
        m_tree = std::move(value);
        return true;
    }
    Frame &frame = m_frames.back();
    if (frame.value.is_object()) {
        frame.value[frame.key] = std::move(value);
    } else {
        frame.value.push_back(std::move(value));
    }
    return true;
}

bool TreeBuilder::key(string_t &name)
{
    if (m_text.active()) {
        m_text.key(name);
        return true;
    }
    Frame &frame = m_frames.back();
    frame.key = name;
    if (frame.value.contains(name)) {
        return refuse(pointer(), "the name stands twice", "keep one of the two");
    }
    return true;
}

bool TreeBuilder::parse_error(std::size_t position, const std::string &, const nlohmann::detail::exception &)
{
    return refuse(pointer(), "no JSON at byte " + std::to_string(position), "write valid JSON in UTF-8");
}

bool TreeBuilder::refuse(const std::string &at, const std::string &what, const std::string &remedy)
{
    m_fault = Fault{at + ": " + what, remedy};
    return false;
}

std::string TreeBuilder::pointer() const
{
    std::string text;
    for (const auto &frame : m_frames) {
        const bool isBeforeFirstKey = frame.value.is_object() && frame.key.empty();
        if (!isBeforeFirstKey) {
            text = pointerOf(text, frame.value.is_object() ? frame.key : std::to_string(frame.value.size()));
        }
    }
    return text.empty() ? "/" : text;
}

} // namespace

// ---- [entry point] ----------------------------------------------------------------------------------------------

Result<nlohmann::json> readStrictJson(const std::string &text, const JsonRules &rules)
{
    if (text.size() > rules.maxBytes) {
        return fail(ErrorKind::InvalidDocument,
                    "/: " + std::to_string(text.size()) + " bytes are too many",
                    "use at most " + std::to_string(rules.maxBytes) + " bytes");
    }
    TreeBuilder builder(rules);
    const bool good = json::sax_parse(text, &builder);
    if (!good) {
        const Fault fault = builder.fault().value_or(Fault{"/: no JSON", "write valid JSON in UTF-8"});
        return fail(ErrorKind::InvalidDocument, fault.what, fault.remedy);
    }
    return std::move(builder.tree());
}

std::string pointerOf(const std::string &parent, std::string_view token)
{
    std::string text = parent == "/" ? "" : parent;
    text += '/';
    for (const char c : token) {
        text += c == '~' ? std::string("~0") : c == '/' ? std::string("~1") : std::string(1, c);
    }
    return text;
}

} // namespace Fescuenotch
