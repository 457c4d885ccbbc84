#include <api/stop_kind.hpp>

#include <model/json.hpp>

namespace berylhill::api
{

std::string_view stop_kind_name(model::endpoint_kind it) noexcept
{
    return it == model::endpoint_kind::entry ? "instance" : model::name_of(it);
}

base::result<model::endpoint_kind> stop_kind_from(std::string_view word)
{
    for (auto const it :
         {model::endpoint_kind::entry, model::endpoint_kind::worker,
          model::endpoint_kind::minion})
    {
        if (stop_kind_name(it) == word)
        {
            return it;
        }
    }
    return base::fail(base::failure_code::invalid,
                      "\"" + std::string{word} +
                          "\" is none of instance, worker, minion");
}

} // namespace berylhill::api
