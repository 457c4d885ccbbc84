#pragma once

#include <json/value.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

/// JSON-RPC 2.0 by libjsonrpccpp, apart from any transport. This header is
/// read by C++14 code as well, and so it names nothing newer.
namespace berylhill
{
namespace rpc
{

/// A JSON-RPC error object, or that there was none.
struct rpc_error
{
    bool present = false;
    std::string message;
    Json::Value data;
};

/// Encodes one request at a time and decodes its response. Not thread-safe.
class json_rpc_client
{
public:
    /// Sends the request text and fills in the response text; returns false
    /// when there is none.
    using transport = std::function<bool(std::string const&, std::string&)>;

    explicit json_rpc_client(transport send);
    ~json_rpc_client();
    json_rpc_client(json_rpc_client const&) = delete;
    json_rpc_client& operator=(json_rpc_client const&) = delete;

    /// Returns false where the transport brought no valid response; otherwise
    /// either `result` or `error` is filled in.
    bool call(std::string const& method,
              Json::Value const& parameters,
              Json::Value& result,
              rpc_error& error);

private:
    class connector;
    std::unique_ptr<connector> m_connector;
};

/// Decodes requests, runs their methods and encodes the responses. `handle` is
/// thread-safe once all methods are added.
class json_rpc_server
{
public:
    /// Fills in the result and returns an error, or one that is not present.
    using method = std::function<rpc_error(Json::Value const&, Json::Value&)>;

    json_rpc_server();
    ~json_rpc_server();
    json_rpc_server(json_rpc_server const&) = delete;
    json_rpc_server& operator=(json_rpc_server const&) = delete;

    /// Precondition: `handle` was not called yet.
    void add(std::string const& name, method run);

    /// The response text; for text that is no valid request, an error response.
    std::string handle(std::string const& request);

private:
    class dispatcher;
    std::unique_ptr<dispatcher> m_dispatcher;
};

} // namespace rpc
} // namespace berylhill
