#pragma once

#include <base/time.hpp>
#include <calls/call_outcome.hpp>
#include <calls/contract_gate.hpp>
#include <calls/entry_demand.hpp>
#include <calls/generator.hpp>
#include <model/contract.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylhill::calls
{

struct admission_settings
{
    /// A larger part of a limit is used only after it was ours for so long,
    /// by when every entry has heard of it. At least two gossip rounds.
    base::duration settle{std::chrono::milliseconds{1'000}};
    /// The part of its even share that an entry without demand keeps.
    double floor{0.1};

    friend bool operator==(admission_settings const&,
                           admission_settings const&) = default;
};

/// Admits calls at one entry, so that all entries together keep each
/// contract's rate, burst and concurrency. Entries gossip their demand and each
/// works out the same division. Not thread-safe.
class admission
{
public:
    /// `entry` is this entry's own id, as in `set_live`.
    admission(std::string entry,
              admission_settings const& settings,
              generator random);

    /// A contract came into force or changed.
    void set_contract(model::contract const& it, base::instant now);

    void remove_contract(std::string const& name);

    /// The live entries that share the limits, this one included. Until the
    /// first call nothing is admitted, and then not before the settling time
    /// has passed: peers have not yet given up a part for this entry.
    void set_live(std::vector<std::string> entries, base::instant now);

    /// A peer's report came.
    void heard(entry_demand const& it);

    /// Once a gossip round (5 a second): works out the shares anew and returns
    /// this entry's demand, to be sent to all live entries.
    [[nodiscard]] entry_demand report(base::instant now);

    /// Admits a call for `service` under `contract`, or refuses it as not run.
    /// Each admitted call ends with one `finished`.
    [[nodiscard]] std::optional<refusal> admit(std::string const& contract,
                                               std::string const& service,
                                               base::instant now);

    /// Whether an admitted call may be sent once more within the contract's
    /// rate; takes a token if so.
    [[nodiscard]] bool admit_resend(std::string const& contract,
                                    base::instant now);

    /// An admitted call got its final answer after `took`. Nothing happens
    /// when the contract is gone meanwhile.
    void finished(std::string const& contract, base::duration took);

    /// The part of the contract's limits in force here; empty for a contract
    /// that is not known.
    [[nodiscard]] limit_part part_of(std::string const& contract) const;

private:
    void divide(contract_gate& gate, base::instant now);

    std::string m_entry;
    admission_settings m_settings;
    generator m_random;
    std::vector<std::string> m_live;
    std::unordered_map<std::string, contract_gate> m_gates;
    /// By contract, then by entry.
    std::unordered_map<std::string,
                       std::unordered_map<std::string, contract_demand>>
        m_demands;
};

} // namespace berylhill::calls
