#include "replay.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace berylhill::bench
{

namespace
{

/// The month's end is this much work for a fleet that is used to the full.
constexpr double s_fleet_work_s = 2'000;
/// The share of the fleet that a race day's batch work takes as declared.
constexpr double s_race_day_load = 0.85;

using generator = boost::random::mt19937_64;

double uniform(generator& from, double least, double most)
{
    return least + (most - least) * boost::random::uniform_01<double>{}(from);
}

std::int64_t whole(generator& from, std::int64_t least, std::int64_t most)
{
    return boost::random::uniform_int_distribution<std::int64_t>{least,
                                                                 most}(from);
}

/// Declared sizes and how far off they are, for one name of job.
struct named_sizes
{
    model::resources declared;
    double run_s{60};
    double size_factor{1};
    double run_factor{1};
};

/// One in ten outgrows its declaration by half; the others need 0.3 to 0.7 of
/// it. Run times are off by 0.2 to 5.
named_sizes make_name(generator& from, std::int32_t n)
{
    named_sizes it;
    it.declared = {whole(from, 2, 16) * 500, whole(from, 2, 24) * 1024, 0};
    it.run_s = uniform(from, 30, 200);
    it.size_factor = n % 10 == 7 ? 1.5 : uniform(from, 0.3, 0.7);
    it.run_factor = std::exp(uniform(from, std::log(0.25), std::log(4.0)));
    return it;
}

std::vector<named_sizes> make_names(generator& from, std::int32_t n)
{
    std::vector<named_sizes> all(static_cast<std::size_t>(n));
    for (std::int32_t each = 0; each < n; ++each)
    {
        all[static_cast<std::size_t>(each)] = make_name(from, each);
    }
    return all;
}

replay_job make_job(generator& from,
                    named_sizes const& of,
                    std::string contract,
                    std::string name,
                    double arrives_s)
{
    replay_job it;
    it.arrives_s = arrives_s;
    it.request.contract = std::move(contract);
    it.request.name = std::move(name);
    it.request.declared = of.declared;
    it.request.declared_run_s = of.run_s;
    it.size_factor = of.size_factor * uniform(from, 0.93, 1.07);
    it.run_factor = of.run_factor * uniform(from, 0.8, 1.25);
    return it;
}

model::contract contract_of(std::string name, model::preference preferred)
{
    model::contract it;
    it.name = std::move(name);
    it.quota = {10'000'000, 100'000'000, 100};
    it.urgent_quota = {200'000, 400'000, 0};
    it.tasks_at_once = 100'000;
    it.preempted = model::preemption::by_checkpoint;
    it.preferred = preferred;
    return it;
}

/// The larger of the shares of the fleet's cores and memory.
double share_of_fleet(replay_input const& fleet, model::resources const& it)
{
    auto const all = fleet.capacity * fleet.workers;
    return std::max(static_cast<double>(it.millicores) /
                        static_cast<double>(all.millicores),
                    static_cast<double>(it.memory_mb) /
                        static_cast<double>(all.memory_mb));
}

void sort_by_arrival(replay_input& it)
{
    std::stable_sort(it.jobs.begin(), it.jobs.end(),
                     [](auto& a, auto& b)
                     { return a.arrives_s < b.arrives_s; });
}

} // namespace

replay_input kitakaze_month_end(std::uint64_t seed)
{
    constexpr std::int32_t names = 20;
    constexpr double arrive_within_s = 900;
    generator from{seed};
    replay_input it;
    it.name = "kitakaze";
    it.capacity = {32'000, 131'072, 0};
    it.contracts = {contract_of("kitakaze", model::preference::packing)};
    auto const sizes = make_names(from, names);
    for (double work_s = 0; work_s < s_fleet_work_s;)
    {
        auto const name = static_cast<std::size_t>(whole(from, 0, names - 1));
        it.jobs.push_back(make_job(from, sizes[name], "kitakaze",
                                   "monthly-" + std::to_string(name),
                                   uniform(from, 0, arrive_within_s)));
        auto const& job = it.jobs.back();
        work_s += job.size_factor * job.run_factor *
                  job.request.declared_run_s *
                  share_of_fleet(it, job.request.declared);
    }
    sort_by_arrival(it);
    return it;
}

replay_input cantabrica_race_day(std::uint64_t seed)
{
    constexpr double day_s = 7'200;
    constexpr std::int32_t clubs = 12;
    generator from{seed};
    replay_input it;
    it.name = "cantabrica";
    it.rack_size = 6;
    it.capacity = {64'000, 131'072, 0};
    it.contracts = {contract_of("cantabrica", model::preference::waiting)};
    auto const sizes = make_names(from, clubs);
    auto const arrivals = [&](double every_s, auto make)
    {
        boost::random::exponential_distribution<double> gap{1 / every_s};
        for (auto at = gap(from); at < day_s; at += gap(from))
        {
            it.jobs.push_back(make(at));
        }
    };
    double work_s = 0;
    for (auto const& each : sizes)
    {
        work_s += each.run_factor * each.run_s *
                  share_of_fleet(it, each.declared) / clubs;
    }
    arrivals(work_s / s_race_day_load,
             [&](double at)
             {
                 auto const club =
                     static_cast<std::size_t>(whole(from, 0, clubs - 1));
                 return make_job(from, sizes[club], "cantabrica",
                                 "club-" + std::to_string(club), at);
             });
    arrivals(180,
             [&](double at)
             {
                 named_sizes const of{{2'000, 3'072, 0}, 90, 0.6, 1};
                 auto job = make_job(from, of, "cantabrica", "reissue", at);
                 job.request.kind = model::job_kind::gang;
                 job.request.tasks =
                     static_cast<std::int32_t>(whole(from, 40, 400));
                 return job;
             });
    arrivals(2,
             [&](double at)
             {
                 named_sizes const of{{1'000, 1'024, 0}, 5, 0.5, 1};
                 auto job = make_job(from, of, "cantabrica", "race", at);
                 job.request.urgent = model::urgency::urgent;
                 return job;
             });
    sort_by_arrival(it);
    return it;
}

} // namespace berylhill::bench
