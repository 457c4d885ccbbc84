#include "documents.hpp"

#include <boost/json.hpp>

namespace berylhill::platform_test
{

namespace json = boost::json;

std::string configuration_document(int version,
                                   std::vector<std::string> const& queues,
                                   std::string const& service)
{
    json::array services{json::object{{"name", "svc"}}};
    if (service != "svc")
    {
        services.emplace_back(json::object{{"name", service}});
    }
    json::array routes;
    for (auto const& name : queues)
    {
        routes.emplace_back(json::object{{"name", name},
                                         {"hostname", "h"},
                                         {"pathPrefix", "/" + name + "/"},
                                         {"timeoutMs", 3'000},
                                         {"targetLatencyMs", 500},
                                         {"priority", 0},
                                         {"service", service},
                                         {"attempts", 2},
                                         {"stretch", 2}});
    }
    return json::serialize(json::object{{"version", version},
                                        {"routes", std::move(routes)},
                                        {"services", std::move(services)},
                                        {"limits", json::object{}}});
}

std::string configuration_document(int version,
                                   std::vector<std::string> const& queues,
                                   std::size_t bytes)
{
    auto const name = [](std::size_t n)
    {
        return "other-" + std::to_string(n);
    };
    auto all = queues;
    auto const bare = configuration_document(version, queues).size();
    all.push_back(name(0));
    auto const row = configuration_document(version, all).size() - bare;
    for (std::size_t n = 1; bare + n * row < bytes; ++n)
    {
        all.push_back(name(n));
    }
    return configuration_document(version, bytes > bare ? all : queues);
}

std::string configuration_document(int version,
                                   std::vector<std::string> const& queues,
                                   std::vector<account_keys> const& accounts)
{
    auto out = json::parse(configuration_document(version, queues));
    json::array rows;
    for (auto const& it : accounts)
    {
        rows.emplace_back(json::object{
            {"name", it.account},
            {"apiKeys", json::array(it.keys.begin(), it.keys.end())},
            {"weight", 10},
            {"cap", json::object{}}});
    }
    out.as_object()["tenants"] = std::move(rows);
    return json::serialize(out);
}

std::string job_document(std::int64_t cpu_millis,
                         std::int64_t estimate_ms,
                         std::size_t first_tasks)
{
    auto const step = [&](std::size_t tasks)
    {
        return json::object{{"count", tasks},
                            {"cpu", cpu_millis},
                            {"memMb", 100},
                            {"estimateMs", estimate_ms}};
    };
    auto second = step(1);
    second["after"] = json::array{0};
    return json::serialize(json::object{
        {"taskSpec", "t"},
        {"steps", json::array{step(first_tasks), std::move(second)}}});
}

} // namespace berylhill::platform_test
