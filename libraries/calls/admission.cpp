#include <calls/admission.hpp>

#include <base/hash.hpp>
#include <calls/divide_limit.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylhill::calls
{

namespace
{

bool contains(std::vector<std::string> const& names, std::string const& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

admission::admission(std::string entry,
                     admission_settings const& settings,
                     generator random)
    : m_entry{std::move(entry)}
    , m_settings{settings}
    , m_random{random}
{
}

void admission::set_contract(model::contract const& it, base::instant now)
{
    auto const [found, added] = m_contracts.try_emplace(
        it.name, contract_state{{it, now}, {}, {}, {}, {}});
    auto& state = found->second;
    if (!added)
    {
        state.limiter.set_limits(it);
    }
    if (!m_live.empty())
    {
        select_homes(state);
        assign_share(state, now);
    }
}

void admission::remove_contract(std::string const& name)
{
    m_contracts.erase(name);
}

void admission::set_live(std::vector<std::string> entries, base::instant now)
{
    auto const first = m_live.empty();
    std::sort(entries.begin(), entries.end());
    if (entries == m_live)
    {
        return;
    }
    m_live = std::move(entries);
    for (auto& [name, it] : m_contracts)
    {
        if (first)
        {
            // Until the peers learn of a joining entry, they still use the
            // whole limit. Its first share is therefore zero, so that the limit
            // holds until the settling time is over.
            it.limiter.set_share({}, now, m_settings.settling_time);
        }
        release_departed(it);
        select_homes(it);
        assign_share(it, now);
    }
}

void admission::update_demand(entry_demand const& report)
{
    for (auto& [name, it] : m_contracts)
    {
        it.demands.erase(report.entry);
    }
    for (auto const& it : report.contracts)
    {
        auto const found = m_contracts.find(it.contract);
        if (found != m_contracts.end() && is_live(report.entry))
        {
            found->second.demands[report.entry] = it;
        }
    }
}

entry_demand admission::update_shares(base::instant now)
{
    entry_demand own{m_entry, {}};
    for (auto& [name, it] : m_contracts)
    {
        auto demand = it.limiter.report(now);
        if (demand.calls_per_s > 0 || demand.at_once > 0)
        {
            own.contracts.push_back(std::move(demand));
        }
    }
    update_demand(own);
    for (auto& [name, it] : m_contracts)
    {
        assign_share(it, now);
    }
    return own;
}

admission_step admission::next(std::string const& contract,
                               std::string const& service,
                               std::vector<std::string> const& tried,
                               base::instant now)
{
    if (auto why = check_contract(contract, service))
    {
        return {admission_state::refused, {}, std::move(*why)};
    }
    auto& state = m_contracts.at(contract);
    std::optional<refusal> own;
    if (contains(state.homes, m_entry) && !contains(tried, m_entry))
    {
        own = admit_for(m_entry, contract, service, now);
        if (!own)
        {
            return {admission_state::admitted, m_entry, {}};
        }
    }
    std::vector<std::string const*> open;
    for (auto const& it : state.homes)
    {
        auto const until = state.exhausted_until.find(it);
        auto const exhausted =
            until != state.exhausted_until.end() && now < until->second;
        if (it != m_entry && !exhausted && !contains(tried, it))
        {
            open.push_back(&it);
        }
    }
    if (!open.empty())
    {
        auto const at = uniform(m_random, 0, static_cast<double>(open.size()));
        return {
            admission_state::ask_home, *open[static_cast<std::size_t>(at)], {}};
    }
    auto why = own ? *own : state.limiter.refuse_as_exhausted(m_random);
    return {admission_state::refused, {}, std::move(why)};
}

void admission::mark_home_exhausted(std::string const& contract,
                                    std::string const& home,
                                    base::instant now)
{
    auto const it = m_contracts.find(contract);
    if (it != m_contracts.end())
    {
        it->second.exhausted_until[home] = now + m_settings.exhausted_pause;
    }
}

std::optional<refusal> admission::admit_for(std::string const& peer,
                                            std::string const& contract,
                                            std::string const& service,
                                            base::instant now)
{
    if (auto why = check_contract(contract, service))
    {
        return why;
    }
    auto& state = m_contracts.at(contract);
    auto why = state.limiter.admit(now, m_random);
    if (!why)
    {
        ++state.admitted_for[peer];
    }
    return why;
}

void admission::finished(std::string const& peer,
                         std::string const& contract,
                         base::duration took,
                         std::int32_t resends,
                         base::instant now)
{
    auto const it = m_contracts.find(contract);
    if (it == m_contracts.end())
    {
        return;
    }
    auto const held = it->second.admitted_for.find(peer);
    if (held == it->second.admitted_for.end())
    {
        return;
    }
    it->second.limiter.finish(took, resends, now);
    if (--held->second == 0)
    {
        it->second.admitted_for.erase(held);
    }
}

limit_share admission::share_of(std::string const& contract) const
{
    auto const it = m_contracts.find(contract);
    return it == m_contracts.end() ? limit_share{} : it->second.limiter.share();
}

std::vector<std::string> admission::homes_of(std::string const& contract) const
{
    auto const it = m_contracts.find(contract);
    return it == m_contracts.end() ? std::vector<std::string>{}
                                   : it->second.homes;
}

void admission::select_homes(contract_state& it) const
{
    auto const& limits = it.limiter.limits();
    auto const wanted = std::floor(static_cast<double>(limits.calls_at_once) /
                                   m_settings.min_calls_at_once);
    auto const n = std::clamp(static_cast<std::size_t>(std::max(wanted, 0.0)),
                              std::min(m_settings.min_homes, m_live.size()),
                              m_live.size());
    it.homes = base::rendezvous_order(limits.name, m_live);
    it.homes.resize(n);
    std::sort(it.homes.begin(), it.homes.end());
}

void admission::assign_share(contract_state& it, base::instant now) const
{
    auto const self =
        std::lower_bound(it.homes.begin(), it.homes.end(), m_entry);
    if (self == it.homes.end() || *self != m_entry)
    {
        it.limiter.set_share({}, now, m_settings.settling_time);
        return;
    }
    auto const& limits = it.limiter.limits();
    std::vector<double> rates(it.homes.size());
    std::vector<double> at_once(it.homes.size());
    for (std::size_t i = 0; i < it.homes.size(); ++i)
    {
        auto const demand = it.demands.find(it.homes[i]);
        if (demand != it.demands.end())
        {
            rates[i] = demand->second.calls_per_s;
            at_once[i] = demand->second.at_once;
        }
    }
    auto const index = static_cast<std::size_t>(self - it.homes.begin());
    // In whole tokens: a share of less than one token would never admit a call,
    // and its rate would be lost.
    auto const burst =
        divide_units(static_cast<double>(limits.call_burst), rates,
                     m_settings.min_even_share_fraction)[index];
    auto const rate = limits.call_burst > 0
                          ? limits.calls_per_s * burst /
                                static_cast<double>(limits.call_burst)
                          : 0;
    auto const units =
        divide_units(static_cast<double>(limits.calls_at_once), at_once,
                     m_settings.min_even_share_fraction)[index];
    it.limiter.set_share({rate, burst, units}, now, m_settings.settling_time);
}

void admission::release_departed(contract_state& it) const
{
    // The end of calls that a failed entry had in flight is never reported. If
    // they stayed counted, they would lower the contract's concurrency
    // permanently.
    for (auto held = it.admitted_for.begin(); held != it.admitted_for.end();)
    {
        if (held->first == m_entry || is_live(held->first))
        {
            ++held;
            continue;
        }
        for (std::int64_t n = held->second; n > 0; --n)
        {
            it.limiter.drop();
        }
        held = it.admitted_for.erase(held);
    }
    std::erase_if(it.demands,
                  [&](auto const& demand) { return !is_live(demand.first); });
    std::erase_if(it.exhausted_until,
                  [&](auto const& home) { return !is_live(home.first); });
}

bool admission::is_live(std::string const& entry) const
{
    return std::binary_search(m_live.begin(), m_live.end(), entry);
}

std::optional<refusal>
admission::check_contract(std::string const& contract,
                          std::string const& service) const
{
    auto const it = m_contracts.find(contract);
    if (it == m_contracts.end())
    {
        return refusal{ran::not_run, refusal_code::unknown_contract,
                       "contract '" + contract + "' is not in force", 0};
    }
    if (!contains(it->second.limiter.limits().services, service))
    {
        return refusal{
            ran::not_run, refusal_code::service_not_allowed,
            "contract " + contract + " does not include service " + service, 0};
    }
    return std::nullopt;
}

} // namespace berylhill::calls
