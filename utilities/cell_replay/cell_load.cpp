#include <cell_replay/cell_load.hpp>

#include <boost/json.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>

namespace berylhill::cell_replay
{

namespace
{

using generator = boost::random::mt19937_64;
namespace json = boost::json;

constexpr double ms_per_s = 1'000;

double number(json::object const& in, char const* name, double otherwise = 0)
{
    auto const* const it = in.if_contains(name);
    return it == nullptr ? otherwise : it->to_number<double>();
}

base::duration duration_of(double seconds)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double>{seconds});
}

base::duration milliseconds(json::object const& in, char const* name)
{
    return duration_of(number(in, name) / ms_per_s);
}

drawn_size size_of(json::object const& in, char const* name)
{
    auto const* const it = in.if_contains(name);
    if (it == nullptr)
    {
        return {};
    }
    auto const& all = it->as_array();
    return {all.at(0).to_number<double>(), all.at(1).to_number<double>(),
            all.at(2).to_number<double>()};
}

load_trouble trouble_of(json::object const& in, char const* name)
{
    auto const* const it = in.if_contains(name);
    if (it == nullptr)
    {
        return {};
    }
    return {number(it->as_object(), "at_s"), number(it->as_object(), "for_s")};
}

workload::queue_spec queue_of(json::object const& in)
{
    workload::queue_spec out;
    out.name = in.at("queue").as_string().c_str();
    out.service = "service";
    out.max_attempts = static_cast<std::uint32_t>(number(in, "attempts", 4));
    out.stretch = number(in, "stretch", 1);
    out.priority = static_cast<std::int32_t>(number(in, "priority"));
    out.target_latency = milliseconds(in, "target_ms");
    if (in.contains("decision_ms"))
    {
        out.advice = workload::advice_spec{milliseconds(in, "decision_ms"),
                                           milliseconds(in, "each_ms"),
                                           milliseconds(in, "validity_ms")};
    }
    return out;
}

load_kind kind_of(json::object const& in)
{
    load_kind out;
    out.queue = queue_of(in);
    out.per_second = number(in, "per_second");
    out.worth = number(in, "worth");
    out.late_worth = number(in, "late_worth");
    out.steps = size_of(in, "steps");
    out.tasks = size_of(in, "tasks");
    out.cpu_millis = size_of(in, "cpu_millis");
    out.memory_mb = size_of(in, "memory_mb");
    out.work_ms = size_of(in, "work_ms");
    out.estimate_off = number(in, "estimate_off");
    out.gang_share = number(in, "gang_share");
    out.checkpoint_share = number(in, "checkpoint_share");
    out.fail_share = number(in, "fail_share");
    out.allowed_share = number(in, "allowed_share", 1);
    if (auto const* const it = in.if_contains("bursts"); it != nullptr)
    {
        for (auto const& each : it->as_array())
        {
            auto const& burst = each.as_object();
            auto const* const one = burst.if_contains("one_account");
            out.bursts.push_back({number(burst, "at_s"), number(burst, "for_s"),
                                  number(burst, "factor", 1),
                                  one != nullptr && one->as_bool()});
        }
    }
    return out;
}

double draw(generator& from, drawn_size const& of)
{
    auto out = of.mean;
    if (of.spread > 0)
    {
        auto const deviation = std::sqrt(std::log1p(of.spread * of.spread));
        auto const centre = std::log(of.mean) - deviation * deviation / 2;
        out = boost::random::lognormal_distribution<double>{centre,
                                                            deviation}(from);
    }
    return std::min(out, of.most);
}

double rate_at(load_kind const& of, double at_s)
{
    auto rate = of.per_second;
    for (auto const& it : of.bursts)
    {
        if (at_s >= it.at_s && at_s < it.at_s + it.for_s)
        {
            rate *= it.factor;
        }
    }
    return rate;
}

std::string account_name(std::uint32_t n)
{
    return "account-" + std::to_string(n);
}

double sum_of_shares(std::uint32_t accounts)
{
    auto out = 0.0;
    for (std::uint32_t n = 1; n <= accounts; ++n)
    {
        out += 1.0 / n;
    }
    return out;
}

std::string draw_account(generator& from,
                         cell_load const& of,
                         load_kind const& kind,
                         double at_s)
{
    boost::random::uniform_01<double> chance;
    for (auto const& it : kind.bursts)
    {
        if (it.one_account && at_s >= it.at_s && at_s < it.at_s + it.for_s &&
            chance(from) < 1 - 1 / it.factor)
        {
            return account_name(1);
        }
    }
    auto left = chance(from) * sum_of_shares(of.accounts);
    for (std::uint32_t n = 1; n < of.accounts; ++n)
    {
        left -= 1.0 / n;
        if (left < 0)
        {
            return account_name(n);
        }
    }
    return account_name(of.accounts);
}

workload::step_spec
draw_step(generator& from, load_kind const& kind, double work_s)
{
    constexpr std::int64_t least = 1;
    workload::step_spec out;
    out.tasks = static_cast<std::uint32_t>(
        std::max<long>(least, std::lround(draw(from, kind.tasks))));
    out.need = {std::lround(draw(from, kind.cpu_millis)),
                std::lround(draw(from, kind.memory_mb)), 0};
    auto const off = boost::random::normal_distribution<double>{
        0, std::max(kind.estimate_off, 1e-9)}(from);
    out.estimate_ms =
        std::max(least, std::lround(work_s * ms_per_s * std::exp(off)));
    boost::random::uniform_01<double> chance;
    out.gang = chance(from) < kind.gang_share;
    out.can_checkpoint = chance(from) < kind.checkpoint_share;
    return out;
}

drawn_job draw_job(generator& from, load_kind const& kind)
{
    // What the objective grants a step for its question.
    constexpr std::int64_t named_for_free = 30;
    drawn_job out;
    out.spec.queue = kind.queue.name;
    out.spec.payload = "p";
    auto const steps = std::max(1L, std::lround(draw(from, kind.steps)));
    auto chain = 0.0;
    auto questions = base::duration{0};
    for (std::uint32_t n = 0; n < static_cast<std::uint32_t>(steps); ++n)
    {
        out.work_s.push_back(draw(from, kind.work_ms) / ms_per_s);
        auto step = draw_step(from, kind, out.work_s.back());
        if (n > 0)
        {
            step.depends_on = {n - 1};
        }
        chain += out.work_s.back();
        out.work += out.work_s.back() * step.tasks *
                    static_cast<double>(step.need.cpu_millis) / ms_per_s;
        if (kind.queue.advice)
        {
            questions += kind.queue.advice->decision +
                         kind.queue.advice->per_instance * named_for_free;
        }
        out.spec.steps.push_back(std::move(step));
    }
    out.objective = duration_of(kind.queue.stretch * chain) +
                    kind.queue.target_latency + questions;
    return out;
}

} // namespace

cell_load read_cell_load(std::string const& path)
{
    std::ifstream file{path};
    std::string const text{std::istreambuf_iterator<char>{file}, {}};
    auto const read = json::parse(text);
    auto const& in = read.as_object();
    cell_load out;
    out.name = in.at("name").as_string().c_str();
    out.seconds = number(in, "seconds");
    out.instances = static_cast<std::uint32_t>(number(in, "instances"));
    out.rack = static_cast<std::uint32_t>(number(in, "rack", 1));
    out.capacity = {std::lround(number(in, "cpu_millis")),
                    std::lround(number(in, "memory_mb")), 0};
    out.machines = static_cast<std::uint32_t>(number(in, "machines", 1));
    out.append = milliseconds(in, "append_ms");
    out.slow_append = milliseconds(in, "slow_append_ms");
    out.slow_store = trouble_of(in, "slow_store");
    out.leaving_share = number(in, "leaving_share");
    out.leaving = trouble_of(in, "leaving");
    out.accounts = static_cast<std::uint32_t>(number(in, "accounts"));
    for (auto const& it : in.at("speeds").as_array())
    {
        out.speeds.push_back(it.to_number<double>());
    }
    for (auto const& it : in.at("kinds").as_array())
    {
        out.kinds.push_back(kind_of(it.as_object()));
    }
    return out;
}

std::vector<workload::account_spec> accounts_of(cell_load const& it)
{
    auto rate = 0.0;
    for (auto const& kind : it.kinds)
    {
        rate += kind.per_second;
    }
    std::vector<workload::account_spec> out;
    for (std::uint32_t n = 1; n <= it.accounts; ++n)
    {
        out.emplace_back();
        out.back().name = account_name(n);
        out.back().weight = rate / n / sum_of_shares(it.accounts);
    }
    return out;
}

std::vector<drawn_job> draw_jobs(cell_load const& of, std::uint64_t seed)
{
    generator from{seed};
    // Of its own, so that a load draws the same jobs with accounts or without.
    generator from_accounts{seed};
    std::vector<drawn_job> out;
    for (std::size_t kind = 0; kind < of.kinds.size(); ++kind)
    {
        auto const& drawn = of.kinds[kind];
        auto at_s = 0.0;
        while (true)
        {
            at_s += boost::random::exponential_distribution<double>{
                rate_at(drawn, at_s)}(from);
            if (at_s >= of.seconds)
            {
                break;
            }
            auto it = draw_job(from, drawn);
            it.kind = kind;
            it.arrives = duration_of(at_s);
            if (of.accounts > 0)
            {
                it.spec.account = draw_account(from_accounts, of, drawn, at_s);
            }
            out.push_back(std::move(it));
        }
    }
    std::ranges::stable_sort(out, std::ranges::less{}, &drawn_job::arrives);
    for (std::size_t n = 0; n < out.size(); ++n)
    {
        out[n].spec.id = {n + 1};
    }
    return out;
}

} // namespace berylhill::cell_replay
