#include <stand_ins/simulated_task.hpp>

#include <model/json.hpp>

namespace berylhill::stand_ins
{

namespace
{

base::result<task_truth>
parse_truth(std::string const& command, task_truth otherwise, double time_scale)
{
    BOOST_LEAF_AUTO(value, model::parse_json(command));
    if (!value.isObject())
    {
        return otherwise;
    }
    if (value["run_s"].isNumeric())
    {
        otherwise.run =
            base::from_seconds(value["run_s"].asDouble() / time_scale);
    }
    if (value["use"].isObject())
    {
        BOOST_LEAF_ASSIGN(otherwise.use, model::resources_from(value["use"]));
    }
    if (value["end"].isString())
    {
        BOOST_LEAF_ASSIGN(otherwise.end, model::enum_from<model::task_end>(
                                             value["end"].asString()));
    }
    if (value["tag"].isString())
    {
        otherwise.tag = value["tag"].asString();
    }
    return otherwise;
}

} // namespace

task_truth truth_of(platform::task_start const& it, double time_scale)
{
    task_truth const plain{base::from_seconds(1 / time_scale),
                           it.planned,
                           model::task_end::succeeded,
                           {}};
    auto const parsed = base::capture(
        [&] { return parse_truth(it.command, plain, time_scale); });
    return parsed ? parsed.value() : plain;
}

} // namespace berylhill::stand_ins
