#include "rpc/rpc_channel.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <utility>

namespace nutmegtally
{

namespace
{

constexpr const char *messageParameter = "m"; // every method has this one named parameter
constexpr int statusOk = 200;
constexpr int serverErrorCode = -32000; // first code of the range that JSON-RPC reserves for server errors

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

bool parseText(const std::string &text, Json::Value &value)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

class http_connector : public jsonrpc::IClientConnector
{
public:
    http_connector(http_pool &http, const rpc_client::sign_function &sign, int timeoutMs)
        : m_http(http)
        , m_sign(sign)
        , m_timeoutMs(timeoutMs)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        http_call call;
        call.method = "POST";
        call.path = rpcPath;
        call.body = message;
        call.timeoutMs = m_timeoutMs;
        call.headers["Content-Type"] = "application/json";
        call.headers[rpcAuthHeader] = m_sign(message);
        http_answer answer = m_http.call(call);
        if (answer.progress != http_progress::answered) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, answer.fault);
        }
        if (answer.status != statusOk) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "status " + std::to_string(answer.status));
        }
        result = std::move(answer.body);
    }

private:
    http_pool &m_http;
    const rpc_client::sign_function &m_sign;
    int m_timeoutMs;
};

/// Connector without a listener: rpc_server::handle() passes in each request, and addInfo points to the string that receives
/// the response.
class handler_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(const std::string &response, void *addInfo) override
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }
};

class dispatcher : public jsonrpc::AbstractServer<dispatcher>
{
public:
    explicit dispatcher(jsonrpc::AbstractServerConnector &connector)
        : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2)
    {
    }

    void add(const std::string &method, rpc_server::method_function function)
    {
        const jsonrpc::Procedure procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, messageParameter, jsonrpc::JSON_OBJECT,
                                           nullptr);
        bindAndAddMethod(procedure, &dispatcher::unused);
        m_functions[method] = std::move(function);
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        try {
            const std::string result = m_functions.at(procedure.GetProcedureName())(toText(input[messageParameter]));
            if (!parseText(result, output)) {
                throw std::runtime_error("the method gave no JSON");
            }
        } catch (const std::exception &fault) {
            throw jsonrpc::JsonRpcException(serverErrorCode, fault.what());
        }
    }

private:
    void unused(const Json::Value &, Json::Value &) { }

    std::map<std::string, rpc_server::method_function> m_functions;
};

} // namespace

rpc_client::rpc_client(const std::string &address, sign_function sign)
    : m_http(address)
    , m_sign(std::move(sign))
{
}

rpc_reply rpc_client::call(const std::string &method, const std::string &params, int timeoutMs)
{
    rpc_reply reply;
    Json::Value message;
    if (!parseText(params, message)) {
        reply.fault = "the parameters are not valid JSON";
        return reply;
    }
    try {
        http_connector connector(m_http, m_sign, timeoutMs);
        jsonrpc::Client client(connector);
        Json::Value named;
        named[messageParameter] = message;
        reply.result = toText(client.CallMethod(method, named));
        reply.isAnswered = true;
    } catch (const jsonrpc::JsonRpcException &fault) {
        reply.errorCode = fault.GetCode();
        reply.fault = fault.GetMessage();
    }
    return reply;
}

struct rpc_server::implementation {
    implementation()
        : methods(connector)
    {
    }

    handler_connector connector;
    dispatcher methods;
};

rpc_server::rpc_server()
    : m_implementation(new implementation)
{
}

rpc_server::~rpc_server() = default;

void rpc_server::add(const std::string &method, method_function function)
{
    m_implementation->methods.add(method, std::move(function));
}

std::string rpc_server::handle(const std::string &body)
{
    std::string answer;
    m_implementation->connector.OnRequest(body, &answer);
    return answer;
}

} // namespace nutmegtally
