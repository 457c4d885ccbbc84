#include <entry/stop_progress.hpp>

#include <api/operator_documents.hpp>
#include <entry/entry_node.hpp>
#include <entry/unit.hpp>
#include <entry/unit_client.hpp>

#include <chrono>
#include <optional>

namespace berylhill::entry
{

namespace
{

constexpr base::duration s_limit = std::chrono::seconds{3};

std::optional<model::endpoint>
listed(entry_node& self, model::endpoint_kind kind, std::string const& id)
{
    for (auto const& it : self.view.get()->endpoints)
    {
        if (it.kind == kind && it.id == id)
        {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace

base::result<Json::Value> stop_progress(entry_node& self,
                                        model::endpoint_kind kind,
                                        std::string const& id)
{
    auto const announced = self.configuration.state().stop_of(kind, id);
    if (!announced)
    {
        return base::fail(base::failure_code::not_found,
                          "no stop of " + id + " was announced");
    }
    auto const endpoint = listed(self, kind, id);
    if (!endpoint)
    {
        return api::stop_document(*announced, api::stop_phase::done, 0);
    }
    if (kind == model::endpoint_kind::entry)
    {
        return api::stop_document(*announced, api::stop_phase::draining, 1);
    }
    Json::Value message{Json::objectValue};
    message["unit"] = unit_of(*endpoint);
    message["id"] = id;
    auto const method = kind == model::endpoint_kind::worker
                            ? "workers.work_left"
                            : "minions.work_left";
    BOOST_LEAF_AUTO(answer, call_unit_until(self, unit_of(*endpoint), method,
                                            message, s_limit, repeat::reading));
    auto const left = answer["work_left"].asInt64();
    auto const phase =
        left == 0 ? api::stop_phase::done : api::stop_phase::draining;
    return api::stop_document(*announced, phase, left);
}

} // namespace berylhill::entry
