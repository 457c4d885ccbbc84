#include <rpc/json_rpc.hpp>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <utility>

namespace berylhill
{
namespace rpc
{

namespace
{

/// In the range that JSON-RPC leaves to applications, and not one of those that
/// the library takes for itself.
constexpr int s_application_error = -32050;

} // namespace

class json_rpc_client::connector : public jsonrpc::IClientConnector
{
public:
    explicit connector(transport send)
        : m_send(std::move(send))
    {
    }

    void SendRPCMessage(std::string const& message, std::string& result) throw(
        jsonrpc::JsonRpcException) override
    {
        if (!m_send(message, result))
        {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no response");
        }
    }

private:
    transport m_send;
};

json_rpc_client::json_rpc_client(transport send)
    : m_connector(new connector(std::move(send)))
{
}

json_rpc_client::~json_rpc_client() = default;

bool json_rpc_client::call(std::string const& method,
                           Json::Value const& parameters,
                           Json::Value& result,
                           rpc_error& error)
{
    jsonrpc::Client client(*m_connector);
    try
    {
        client.CallMethod(method, parameters, result);
        return true;
    }
    catch (jsonrpc::JsonRpcException const& it)
    {
        error.present = it.GetCode() == s_application_error;
        error.message = it.GetMessage();
        error.data = it.GetData();
        return error.present;
    }
    catch (std::exception const& it)
    {
        // jsoncpp throws for a response that is JSON of another shape.
        error.message = it.what();
        return false;
    }
}

class json_rpc_server::dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
    dispatcher()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void add(std::string const& name, method run)
    {
        m_methods[name] = std::move(run);
        m_protocol->AddProcedure(jsonrpc::Procedure(
            name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
            static_cast<char const*>(nullptr)));
    }

    std::string handle(std::string const& request)
    {
        std::string response;
        m_protocol->HandleRequest(request, response);
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure,
                          Json::Value const& input,
                          Json::Value& output) override
    {
        auto const error =
            m_methods.at(procedure.GetProcedureName())(input, output);
        if (error.present)
        {
            throw jsonrpc::JsonRpcException(s_application_error, error.message,
                                            error.data);
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&,
                                Json::Value const&) override
    {
    }

private:
    std::map<std::string, method> m_methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

json_rpc_server::json_rpc_server()
    : m_dispatcher(new dispatcher)
{
}

json_rpc_server::~json_rpc_server() = default;

void json_rpc_server::add(std::string const& name, method run)
{
    m_dispatcher->add(name, std::move(run));
}

std::string json_rpc_server::handle(std::string const& request)
{
    return m_dispatcher->handle(request);
}

} // namespace rpc
} // namespace berylhill
