#include <calls/admission.hpp>

#include <calls/limit_share.hpp>

#include <algorithm>
#include <utility>

namespace berylhill::calls
{

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
    auto const found = m_gates.find(it.name);
    if (found != m_gates.end())
    {
        found->second.set_limits(it);
        return;
    }
    auto& gate = m_gates.emplace(it.name, contract_gate{it, now}).first->second;
    if (!m_live.empty())
    {
        divide(gate, now);
    }
}

void admission::remove_contract(std::string const& name)
{
    m_gates.erase(name);
    m_demands.erase(name);
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
    for (auto& it : m_demands)
    {
        std::erase_if(it.second,
                      [&](auto const& demand) {
                          return !std::binary_search(
                              m_live.begin(), m_live.end(), demand.first);
                      });
    }
    for (auto& it : m_gates)
    {
        if (first)
        {
            // A joiner's peers still use the whole limit. Its own window
            // starts with nothing, so that the limit holds until they have
            // heard of it.
            it.second.set_part({}, now, m_settings.settle);
        }
        divide(it.second, now);
    }
}

void admission::heard(entry_demand const& report)
{
    if (!std::binary_search(m_live.begin(), m_live.end(), report.entry))
    {
        return;
    }
    for (auto& it : m_demands)
    {
        it.second.erase(report.entry);
    }
    for (auto const& it : report.contracts)
    {
        m_demands[it.contract][report.entry] = it;
    }
}

entry_demand admission::report(base::instant now)
{
    entry_demand own{m_entry, {}};
    for (auto& [name, gate] : m_gates)
    {
        auto demand = gate.report(now);
        if (demand.calls_per_s > 0 || demand.at_once > 0)
        {
            own.contracts.push_back(std::move(demand));
        }
    }
    heard(own);
    for (auto& it : m_gates)
    {
        divide(it.second, now);
    }
    return own;
}

std::optional<refusal> admission::admit(std::string const& contract,
                                        std::string const& service,
                                        base::instant now)
{
    auto const it = m_gates.find(contract);
    if (it == m_gates.end())
    {
        return refusal{ran::not_run, refusal_code::unknown_contract,
                       "no contract " + contract + " is in force", 0};
    }
    auto const& allowed = it->second.limits().services;
    if (std::find(allowed.begin(), allowed.end(), service) == allowed.end())
    {
        return refusal{ran::not_run, refusal_code::service_not_allowed,
                       "contract " + contract + " does not name " + service, 0};
    }
    return it->second.admit(now, m_random);
}

bool admission::admit_resend(std::string const& contract, base::instant now)
{
    auto const it = m_gates.find(contract);
    return it != m_gates.end() && it->second.admit_resend(now);
}

void admission::finished(std::string const& contract, base::duration took)
{
    auto const it = m_gates.find(contract);
    if (it != m_gates.end() && it->second.in_flight() > 0)
    {
        it->second.finish(took);
    }
}

limit_part admission::part_of(std::string const& contract) const
{
    auto const it = m_gates.find(contract);
    return it == m_gates.end() ? limit_part{} : it->second.part();
}

void admission::divide(contract_gate& gate, base::instant now)
{
    auto const self = std::lower_bound(m_live.begin(), m_live.end(), m_entry);
    if (self == m_live.end() || *self != m_entry)
    {
        gate.set_part({}, now, m_settings.settle);
        return;
    }
    auto const& limits = gate.limits();
    auto const known = m_demands.find(limits.name);
    std::vector<double> rates(m_live.size());
    std::vector<double> at_once(m_live.size());
    for (std::size_t i = 0; known != m_demands.end() && i < m_live.size(); ++i)
    {
        auto const demand = known->second.find(m_live[i]);
        if (demand != known->second.end())
        {
            rates[i] = demand->second.calls_per_s;
            at_once[i] = demand->second.at_once;
        }
    }
    auto const index = static_cast<std::size_t>(self - m_live.begin());
    auto const rate =
        divide_limit(limits.calls_per_s, rates, m_settings.floor)[index];
    auto const units = divide_units(static_cast<double>(limits.calls_at_once),
                                    at_once, m_settings.floor)[index];
    auto const burst =
        limits.calls_per_s > 0
            ? static_cast<double>(limits.call_burst) * rate / limits.calls_per_s
            : 0;
    gate.set_part({rate, burst, units}, now, m_settings.settle);
}

} // namespace berylhill::calls
