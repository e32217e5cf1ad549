// HTTP/1.1 messages on Boost.Beast's parser: heads as plain data, bodies handed on as they arrive, and the framing
// checks that keep two parties from reading one byte stream differently.
#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegtally
{

struct header_field {
    std::string name;
    std::string value;
};

/// Start line and header fields of a request or answer.
struct http_head {
    std::string method; // requests
    std::string target; // requests
    int status = 0; // answers
    std::string reason; // answers
    unsigned minorVersion = 1; // of HTTP/1
    std::vector<header_field> fields;

    /// First value of a field, ignoring the case of its name. @return nullptr if there is none.
    const std::string *find(std::string_view name) const;

    /// Number of fields with this name.
    std::size_t count(std::string_view name) const;
};

bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// True if a comma-separated list, as in Connection, has the token.
bool listContainsToken(std::string_view list, std::string_view token);

/// True for fields that concern one connection only, by name or because Connection names them.
bool isHopByHop(const http_head &head, std::string_view name);

/// Reads a decimal number without sign or spaces.
std::optional<std::uint64_t> parseDecimal(std::string_view text);

/// An answer that the process makes itself.
struct local_answer {
    int status = 503;
    std::vector<header_field> fields; // without framing fields
    std::string body;
};

/// Why a message was not accepted.
struct message_fault {
    int status = 400; // for a request: what the caller is told
    std::string text;
};

/// What is wrong with a request's head beyond its syntax: ambiguous framing, missing or double fields.
/// @return Nothing if the head is one clear request.
std::optional<message_fault> checkRequestHead(const http_head &head, std::size_t maxBodyBytes);

/// Parser of one message. Feed it bytes in order; it stops at the end of the message.
template<bool IsRequest>
class message_parser : private boost::beast::http::basic_parser<IsRequest>
{
    using base = boost::beast::http::basic_parser<IsRequest>;
    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;

public:
    /// @param maxHeaderBytes Longer heads are a fault with status 431.
    explicit message_parser(std::size_t maxHeaderBytes);

    /// The answer to a HEAD request has no body.
    void expectNoBody()
    {
        base::skip(true);
    }

    /// Takes bytes of the message. Body bytes are appended to body().
    /// @return Bytes used; fewer than given if the message ended, its next part is incomplete, or a fault was found. The rest has to
    /// be given again with more behind it. It stays below the limits of a head or of a chunk's frame, or is a fault.
    std::size_t feed(std::string_view data);

    /// The peer ended the connection. @return True if this ends the message properly.
    bool feedEof();

    bool isHeadDone() const
    {
        return base::is_header_done();
    }

    bool isDone() const
    {
        return base::is_done();
    }

    /// An answer whose end is the end of its connection.
    bool isCloseDelimited() const
    {
        return base::need_eof();
    }

    /// Both parties keep the connection open after this message.
    bool isKeepAlive() const
    {
        return base::keep_alive();
    }

    const std::optional<message_fault> &fault() const
    {
        return m_fault;
    }

    http_head &head()
    {
        return m_head;
    }

    /// Body bytes that were read and not taken yet.
    std::string &body()
    {
        return m_body;
    }

    /// All body bytes so far.
    std::uint64_t bodyBytes() const
    {
        return m_bodyBytes;
    }

private:
    void on_request_impl(boost::beast::http::verb method, string_view methodText, string_view target, int version, error_code &ec) override;
    void on_response_impl(int code, string_view reason, int version, error_code &ec) override;
    void on_field_impl(boost::beast::http::field name, string_view nameText, string_view value, error_code &ec) override;
    void on_header_impl(error_code &ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &ec) override;
    std::size_t on_body_impl(string_view body, error_code &ec) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code &ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, string_view body, error_code &ec) override;
    void on_finish_impl(error_code &ec) override;

    http_head m_head;
    std::string m_body;
    std::uint64_t m_bodyBytes = 0;
    std::optional<message_fault> m_fault;
};

extern template class message_parser<true>;
extern template class message_parser<false>;

using request_parser = message_parser<true>;
using answer_parser = message_parser<false>;

/// Text of a start line and fields, ready to send.
std::string formatRequestHead(std::string_view method, std::string_view target, const std::vector<header_field> &fields);
std::string formatAnswerHead(int status, std::string_view reason, const std::vector<header_field> &fields);

/// One chunk of a chunked body. An empty body gives an empty text, never the last chunk.
std::string formatChunk(std::string_view body);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

/// Usual reason phrase of a status.
std::string_view reasonPhrase(int status);

} // namespace nutmegtally
