// Sections: [raw member] [tree builder] [entry point]
#include "config/strictjson.h"

#include <vector>

namespace Fescuenotch {

namespace {

using nlohmann::json;

std::string jsonQuoted(const std::string &text)
{
    return json(text).dump();
}

// ---- [raw member] -----------------------------------------------------------------------------------------------

/// Serializes parser events to JSON text.
class RawJsonWriter
{
public:
    bool active() const
    {
        return !m_closingBrackets.empty();
    }
    void open(bool isObject)
    {
        separate();
        m_text += isObject ? '{' : '[';
        m_closingBrackets += isObject ? '}' : ']';
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
    /// Returns true when this closed the outermost container.
    bool close()
    {
        m_text += m_closingBrackets.back();
        m_closingBrackets.pop_back();
        m_first = false;
        return m_closingBrackets.empty();
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
    std::string m_closingBrackets;
    bool m_first = true;
};

// ---- [tree builder] ---------------------------------------------------------------------------------------------

struct Frame {
    json value;
    std::string key; ///< in an object: name of the member being read
};

struct ParseError {
    std::string what;
    std::string remedy;
};

class TreeBuilder : public nlohmann::json_sax<json>
{
public:
    explicit TreeBuilder(const JsonReadOptions &options)
        : m_options(options)
    {
    }

    bool null() override
    {
        return m_rawWriter.active() ? addRawScalar("null") : add(nullptr);
    }
    bool boolean(bool value) override
    {
        return inRawMember() ? addRawScalar(value ? "true" : "false") : add(value);
    }
    bool number_integer(number_integer_t value) override
    {
        return inRawMember() ? addRawScalar(std::to_string(value)) : add(value);
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        return inRawMember() ? addRawScalar(std::to_string(value)) : add(value);
    }
    bool number_float(number_float_t value, const string_t &text) override
    {
        return inRawMember() ? addRawScalar(text) : add(value);
    }
    bool string(string_t &value) override
    {
        return inRawMember() ? addRawScalar(jsonQuoted(value)) : add(std::move(value));
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
    const std::optional<ParseError> &parseError() const
    {
        return m_parseError;
    }

private:
    bool inRawMember() const;
    bool addRawScalar(const std::string &text);
    bool start(json empty);
    bool end();
    bool add(json value);
    bool reject(const std::string &pointer, const std::string &what, const std::string &remedy);
    std::string pointer() const;

    const JsonReadOptions &m_options;
    std::vector<Frame> m_frames;
    RawJsonWriter m_rawWriter;
    json m_tree;
    std::optional<ParseError> m_parseError;
};

bool TreeBuilder::inRawMember() const
{
    if (m_rawWriter.active()) {
        return true;
    }
    if (!m_options.rawMember || m_frames.size() != m_options.rawMember->depth || !m_frames.back().value.is_object()) {
        return false;
    }
    return m_options.rawMember->name.empty() || m_options.rawMember->name == m_frames.back().key;
}

bool TreeBuilder::addRawScalar(const std::string &text)
{
    m_rawWriter.scalar(text);
    return m_rawWriter.active() || add(m_rawWriter.take());
}

bool TreeBuilder::start(json empty)
{
    if (inRawMember()) {
        m_rawWriter.open(empty.is_object());
        return true;
    }
    if (m_frames.size() >= MaxJsonDepth) {
        return reject(pointer(), "nested too deep", "use at most " + std::to_string(MaxJsonDepth) + " levels");
    }
    m_frames.push_back({std::move(empty), {}});
    return true;
}

bool TreeBuilder::end()
{
    if (m_rawWriter.active()) {
        return !m_rawWriter.close() || add(m_rawWriter.take());
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
    if (m_rawWriter.active()) {
        m_rawWriter.key(name);
        return true;
    }
    Frame &frame = m_frames.back();
    frame.key = name;
    if (frame.value.contains(name)) {
        return reject(pointer(), "duplicate name", "keep one of the two");
    }
    return true;
}

bool TreeBuilder::parse_error(std::size_t position, const std::string &, const nlohmann::detail::exception &)
{
    return reject(pointer(), "invalid JSON at byte " + std::to_string(position), "write valid JSON in UTF-8");
}

bool TreeBuilder::reject(const std::string &at, const std::string &what, const std::string &remedy)
{
    m_parseError = ParseError{at + ": " + what, remedy};
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

Result<nlohmann::json> readStrictJson(const std::string &text, const JsonReadOptions &options)
{
    if (text.size() > options.maxBytes) {
        return fail(ErrorKind::InvalidDocument,
                    "/: " + std::to_string(text.size()) + " bytes exceed the limit",
                    "use at most " + std::to_string(options.maxBytes) + " bytes");
    }
    TreeBuilder builder(options);
    const bool isValid = json::sax_parse(text, &builder);
    if (!isValid) {
        const ParseError parseError = builder.parseError().value_or(ParseError{"/: invalid JSON", "write valid JSON in UTF-8"});
        return fail(ErrorKind::InvalidDocument, parseError.what, parseError.remedy);
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
