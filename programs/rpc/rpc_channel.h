// JSON-RPC 2.0 between the project's processes. Only rpc_channel.cpp, which is compiled as C++14, includes libjsonrpccpp.
// This header uses none of its types and compiles as C++14 and as C++20.
#pragma once

#include "rpc/rpc_http.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace nutmegtally
{

/// Path of all JSON-RPC calls.
constexpr const char *rpcPath = "/inner/v1/rpc";

/// Header with the time, nonce and authentication tag of a call.
constexpr const char *rpcAuthHeader = "X-Nutmegtally-Auth";

struct rpc_reply {
    bool isAnswered = false; // true only if the peer returned a result
    std::string result; // JSON text
    int errorCode = 0; // JSON-RPC error code, 0 for none
    std::string fault; // reason for a missing result
};

/// Calls to one peer over persistent connections. Thread-safe.
class rpc_client
{
public:
    /// Returns the value of rpcAuthHeader for a body.
    using sign_function = std::function<std::string(const std::string &body)>;

    rpc_client(const std::string &address, sign_function sign);

    /// @param params JSON text of an object.
    rpc_reply call(const std::string &method, const std::string &params, int timeoutMs);

    void close()
    {
        m_http.close();
    }

    byte_counts bytes() const
    {
        return m_http.bytes();
    }

private:
    http_pool m_http;
    sign_function m_sign;
};

/// Methods of this process. Thread-safe once all methods are added.
class rpc_server
{
public:
    /// Takes and returns the JSON text of an object. An exception becomes a JSON-RPC error with its what() as message.
    using method_function = std::function<std::string(const std::string &params)>;

    rpc_server();
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    void add(const std::string &method, method_function function);

    /// Handles the body of a POST to rpcPath and returns the JSON-RPC response. The caller must have verified the
    /// authentication tag.
    std::string handle(const std::string &body);

private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace nutmegtally
