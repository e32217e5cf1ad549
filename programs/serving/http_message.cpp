#include "serving/http_message.h"

#include "serving/serving_limits.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

namespace nutmegtally
{

namespace http = boost::beast::http;

namespace
{

constexpr std::string_view hopByHopNames[]
    = {"connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
       "trailer",    "transfer-encoding", "upgrade"};

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

bool hasControlCharacters(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
}

bool isOriginForm(std::string_view target)
{
    return !target.empty() && target.front() == '/'
           && std::none_of(target.begin(), target.end(), [](unsigned char c) { return c <= 0x20 || c == 0x7f || c == '#'; });
}

} // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool listContainsToken(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (equalsIgnoreCase(trimmed(list.substr(0, comma)), token)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

const std::string *http_head::find(std::string_view name) const
{
    const auto found
        = std::find_if(fields.begin(), fields.end(), [name](const header_field &field) { return equalsIgnoreCase(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

std::size_t http_head::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(fields.begin(), fields.end(), [name](const header_field &field) { return equalsIgnoreCase(field.name, name); }));
}

bool isHopByHop(const http_head &head, std::string_view name)
{
    for (const std::string_view each : hopByHopNames) {
        if (equalsIgnoreCase(each, name)) {
            return true;
        }
    }
    return std::any_of(head.fields.begin(), head.fields.end(), [name](const header_field &field) {
        return equalsIgnoreCase(field.name, "connection") && listContainsToken(field.value, name);
    });
}

std::optional<std::uint64_t> parseDecimal(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || fault != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<message_fault> checkRequestHead(const http_head &head, std::size_t maxBodyBytes)
{
    if (!isOriginForm(head.target)) {
        return message_fault {400, "the target must be a path"};
    }
    for (const header_field &field : head.fields) {
        if (hasControlCharacters(field.value)) {
            return message_fault {400, "a header value has control bytes"};
        }
    }
    if (head.count("host") > 1 || (head.minorVersion == 1 && head.count("host") == 0)) {
        return message_fault {400, "send one Host header"};
    }
    const std::size_t lengths = head.count("content-length");
    const std::size_t encodings = head.count("transfer-encoding");
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return message_fault {400, "send one Content-Length or one Transfer-Encoding header, not both"};
    }
    if (encodings > 0 && (head.minorVersion == 0 || !equalsIgnoreCase(trimmed(*head.find("transfer-encoding")), "chunked"))) {
        return message_fault {400, "the only transfer encoding is chunked, in HTTP/1.1"};
    }
    if (lengths > 0) {
        const std::optional<std::uint64_t> length = parseDecimal(*head.find("content-length"));
        if (!length) {
            return message_fault {400, "Content-Length must be a decimal number"};
        }
        if (*length > maxBodyBytes) {
            return message_fault {413, "the body is larger than the configured limit"};
        }
    }
    if (equalsIgnoreCase(head.method, "CONNECT")) {
        return message_fault {400, "tunnels are not served"};
    }
    return std::nullopt;
}

template<bool IsRequest>
message_parser<IsRequest>::message_parser(std::size_t maxHeaderBytes)
{
    base::header_limit(static_cast<std::uint32_t>(maxHeaderBytes));
    // The connection checks the configured body limit of requests. Beast's own limit would also apply to relayed answers.
    base::body_limit(std::numeric_limits<std::uint64_t>::max());
    base::eager(true);
}

template<bool IsRequest>
std::size_t message_parser<IsRequest>::feed(std::string_view data)
{
    std::size_t used = 0;
    while (used < data.size() && !base::is_done() && !m_fault) {
        error_code ec;
        const std::size_t taken = base::put(boost::asio::const_buffer(data.data() + used, data.size() - used), ec);
        used += taken;
        if (ec == http::error::need_more) {
            break;
        }
        if (ec) {
            m_fault = message_fault {ec == http::error::header_limit ? 431 : 400, ec.message()};
        } else if (taken == 0) {
            break;
        }
    }
    // Beast consumes a chunk's size line or a trailer section only when it is complete, and the caller buffers it until then.
    // Without this limit a peer could grow that buffer forever.
    if (!m_fault && base::is_header_done() && !base::is_done() && data.size() - used > serving_limits::maxChunkFramingBytes) {
        m_fault = message_fault {431, "a chunk's size line or the trailer is longer than the limit"};
    }
    return used;
}

template<bool IsRequest>
bool message_parser<IsRequest>::feedEof()
{
    if (m_fault || !base::is_header_done()) {
        return false;
    }
    error_code ec;
    base::put_eof(ec);
    return !ec && base::is_done();
}

template<bool IsRequest>
void message_parser<IsRequest>::on_request_impl(http::verb, string_view methodText, string_view target, int version, error_code &)
{
    m_head.method = std::string(methodText);
    m_head.target = std::string(target);
    m_head.minorVersion = static_cast<unsigned>(version % 10);
}

template<bool IsRequest>
void message_parser<IsRequest>::on_response_impl(int code, string_view reason, int version, error_code &ec)
{
    if (code < serving_limits::minStatus || code > serving_limits::maxStatus) {
        ec = http::error::bad_status; // Beast accepts any three digits
        return;
    }
    m_head.status = code;
    m_head.reason = std::string(reason);
    m_head.minorVersion = static_cast<unsigned>(version % 10);
}

template<bool IsRequest>
void message_parser<IsRequest>::on_field_impl(http::field, string_view nameText, string_view value, error_code &)
{
    // Beast reports trailer fields here as well. They are neither checked nor forwarded.
    if (!base::is_header_done()) {
        m_head.fields.push_back({std::string(nameText), std::string(value)});
    }
}

template<bool IsRequest>
void message_parser<IsRequest>::on_header_impl(error_code &)
{
}

template<bool IsRequest>
void message_parser<IsRequest>::on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &)
{
}

template<bool IsRequest>
std::size_t message_parser<IsRequest>::on_body_impl(string_view body, error_code &)
{
    m_body.append(body.data(), body.size());
    m_bodyBytes += body.size();
    return body.size();
}

template<bool IsRequest>
void message_parser<IsRequest>::on_chunk_header_impl(std::uint64_t, string_view, error_code &)
{
}

template<bool IsRequest>
std::size_t message_parser<IsRequest>::on_chunk_body_impl(std::uint64_t, string_view body, error_code &ec)
{
    return on_body_impl(body, ec);
}

template<bool IsRequest>
void message_parser<IsRequest>::on_finish_impl(error_code &)
{
}

template class message_parser<true>;
template class message_parser<false>;

namespace
{

void appendFields(std::string &text, const std::vector<header_field> &fields)
{
    for (const header_field &field : fields) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    text += "\r\n";
}

} // namespace

std::string formatRequestHead(std::string_view method, std::string_view target, const std::vector<header_field> &fields)
{
    std::string text(method);
    text += ' ';
    text += target;
    text += " HTTP/1.1\r\n";
    appendFields(text, fields);
    return text;
}

std::string formatAnswerHead(int status, std::string_view reason, const std::vector<header_field> &fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text += reason;
    text += "\r\n";
    appendFields(text, fields);
    return text;
}

std::string formatChunk(std::string_view body)
{
    if (body.empty()) {
        return {};
    }
    char digits[20];
    const auto end = std::to_chars(std::begin(digits), std::end(digits), body.size(), 16).ptr;
    std::string text(digits, static_cast<std::size_t>(end - digits));
    text += "\r\n";
    text += body;
    text += "\r\n";
    return text;
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 100:
        return "Continue";
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Error";
    }
}

} // namespace nutmegtally
