#include "system_state.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>
#include <set>

using namespace berylhill;
using namespace berylhill::ownership;

namespace
{

/// Above the number of states of every case; reaching it fails the test.
constexpr std::size_t s_max_states = 1'000'000;

struct exploration_result
{
    std::size_t states{0};
    bool is_complete{true};
    /// The shortest run that ends with two processes acting for the unit.
    std::vector<std::string> counterexample;
    /// The processes that acted in any state, and until when the first owner
    /// did.
    std::set<std::string> active;
    std::int64_t owner_until{0};
};

struct visited_state
{
    std::size_t parent{0};
    std::string label;
};

std::vector<std::string> path_to(std::vector<visited_state> const& all,
                                 std::size_t i)
{
    std::vector<std::string> run;
    for (; i != 0; i = all[i].parent)
    {
        run.insert(run.begin(), all[i].label);
    }
    return run;
}

void record_active(system_state const& it, exploration_result& found)
{
    for (auto const& name : it.active_processes())
    {
        found.active.insert(name);
        if (name == "e")
        {
            found.owner_until = std::max(found.owner_until, it.now());
        }
    }
}

/// Explores breadth-first, visiting each state once, so that a counterexample
/// is a shortest one.
exploration_result explore(system_state const& start)
{
    std::vector<visited_state> all{{0, ""}};
    std::set<state_digester::digest> known{start.digest()};
    std::vector<std::pair<std::size_t, system_state>> frontier{{0, start}};
    exploration_result it;
    while (!frontier.empty() && it.counterexample.empty())
    {
        std::vector<std::pair<std::size_t, system_state>> next;
        for (auto const& [parent, state] : frontier)
        {
            state.for_each_step(
                [&, from = parent](std::string const& label,
                                   system_state const& to)
                {
                    if (!it.counterexample.empty() ||
                        !known.insert(to.digest()).second)
                    {
                        return;
                    }
                    all.push_back({from, label});
                    record_active(to, it);
                    if (to.active_processes().size() > 1)
                    {
                        it.counterexample = path_to(all, all.size() - 1);
                    }
                    next.emplace_back(all.size() - 1, to);
                });
        }
        it.is_complete = all.size() < s_max_states;
        frontier = it.is_complete
                       ? std::move(next)
                       : std::vector<std::pair<std::size_t, system_state>>{};
    }
    it.states = all.size();
    return it;
}

struct exploration_case
{
    char const* name;
    system_state::bounds limits;
};

std::ostream& operator<<(std::ostream& out, exploration_case const& it)
{
    return out << it.name;
}

system_state::bounds two_processes()
{
    system_state::bounds it;
    it.horizon = 6;
    it.all_tick = true;
    return it;
}

system_state::bounds joining()
{
    system_state::bounds it;
    it.horizon = 5;
    it.third_process = system_state::third_process_state::starts;
    it.owner_cannot_read = true;
    return it;
}

system_state::bounds crashing()
{
    system_state::bounds it;
    it.horizon = 5;
    it.third_process =
        system_state::third_process_state::joined_unknown_to_owner;
    it.owner_cannot_read = true;
    it.crashes = true;
    return it;
}

template <class Change>
system_state::bounds with(system_state::bounds it, Change const& change)
{
    change(it);
    return it;
}

std::array const s_safe_cases{
    exploration_case{
        "two processes, one refused append",
        with(two_processes(), [](auto& it) { it.rejections = 1; })},
    exploration_case{"two processes, a longer lease",
                     with(two_processes(),
                          [](auto& it)
                          {
                              it.lease_duration = 4;
                              it.horizon = 7;
                          })},
    exploration_case{"two processes, a planned stop", with(two_processes(),
                                                           [](auto& it)
                                                           {
                                                               it.horizon = 6;
                                                               it.stops = "e";
                                                           })},
    exploration_case{"a process joins while the owner cannot read the log",
                     joining()},
    exploration_case{"a member takes over and hands over to a new member",
                     with(crashing(),
                          [](auto& it)
                          {
                              it.crashes = false;
                              it.stops = "p";
                          })},
    exploration_case{"a member dies and is removed from the list", crashing()},
};

std::array const s_unsafe_cases{
    exploration_case{"a single vouch is enough",
                     with(two_processes(),
                          [](auto& it)
                          { it.rules.vouch = vouch_rule::any_member; })},
    exploration_case{"unresolved claims are ignored",
                     with(joining(),
                          [](auto& it) {
                              it.rules.unresolved = unresolved_rule::is_ignored;
                          })},
    exploration_case{"a new member claims before the owner knows it",
                     with(joining(),
                          [](auto& it)
                          { it.rules.joiners = joiner_rule::claim_at_once; })},
    exploration_case{"a member removed from the list is exempt",
                     with(crashing(),
                          [](auto& it) {
                              it.rules.removed_members =
                                  removed_member_rule::exempt;
                          })},
};

void print(exploration_case const& of, exploration_result const& it)
{
    auto text = std::string{of.name} + ": " + std::to_string(it.states) +
                " states, " +
                (it.counterexample.empty() ? "holds" : "counterexample:");
    for (auto const& label : it.counterexample)
    {
        text += "\n    " + label;
    }
    BOOST_TEST_MESSAGE(text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(exhaustive)

// Guards against two entries that act for one group: both would place tasks
// there and overload its workers. This could happen if an owner extended its
// lease without the log after the claim of another entry, delayed or unseen,
// had become active. The test runs the protocol classes through every order of
// reads, appends, vouches, joins, crashes and stops up to the bounds. An entry
// that takes no step represents a paused one.
BOOST_DATA_TEST_CASE(no_two_processes_act_for_one_unit, s_safe_cases, it)
{
    auto const found = explore(system_state{it.limits});
    print(it, found);
    BOOST_TEST(found.is_complete);
    BOOST_TEST(found.counterexample.empty());
    // Checks that the bounds are wide enough: the owner extended its first
    // lease, and another process took over.
    BOOST_TEST(found.owner_until > 1 + it.limits.lease_duration);
    BOOST_TEST(found.active.size() > 1U);
}

// Without any one of the safety rules there is a counterexample, so each rule
// is needed, and the exploration detects violations.
BOOST_DATA_TEST_CASE(each_safety_rule_is_needed, s_unsafe_cases, it)
{
    auto const found = explore(system_state{it.limits});
    print(it, found);
    BOOST_TEST(!found.counterexample.empty());
}

BOOST_AUTO_TEST_SUITE_END()
