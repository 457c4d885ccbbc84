#include "world.hpp"

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

/// Above every case here; reaching it is a failure, not a pass.
constexpr std::size_t s_most_states = 1'000'000;

struct findings
{
    std::size_t states{0};
    bool is_whole{true};
    /// The shortest run that ends with two processes acting.
    std::vector<std::string> breaking_run;
    /// Who acted in any state, and until when the first owner did.
    std::set<std::string> acted;
    std::int64_t owner_until{0};
};

struct visited
{
    std::size_t parent{0};
    std::string label;
};

std::vector<std::string> run_to(std::vector<visited> const& all, std::size_t i)
{
    std::vector<std::string> run;
    for (; i != 0; i = all[i].parent)
    {
        run.insert(run.begin(), all[i].label);
    }
    return run;
}

void note_acting(world const& it, findings& found)
{
    for (auto const& name : it.acting())
    {
        found.acted.insert(name);
        if (name == "e")
        {
            found.owner_until = std::max(found.owner_until, it.now());
        }
    }
}

/// Breadth first, each state once, so that a breaking run is a shortest one.
findings explore(world const& start)
{
    std::vector<visited> all{{0, ""}};
    std::set<state_digester::digest> known{start.digest()};
    std::vector<std::pair<std::size_t, world>> frontier{{0, start}};
    findings it;
    while (!frontier.empty() && it.breaking_run.empty())
    {
        std::vector<std::pair<std::size_t, world>> next;
        for (auto const& [parent, state] : frontier)
        {
            state.each_step(
                [&, from = parent](std::string const& label, world const& to)
                {
                    if (!it.breaking_run.empty() ||
                        !known.insert(to.digest()).second)
                    {
                        return;
                    }
                    all.push_back({from, label});
                    note_acting(to, it);
                    if (to.acting().size() > 1)
                    {
                        it.breaking_run = run_to(all, all.size() - 1);
                    }
                    next.emplace_back(all.size() - 1, to);
                });
        }
        it.is_whole = all.size() < s_most_states;
        frontier = it.is_whole ? std::move(next)
                               : std::vector<std::pair<std::size_t, world>>{};
    }
    it.states = all.size();
    return it;
}

struct exploration
{
    char const* name;
    world::bounds limits;
};

std::ostream& operator<<(std::ostream& out, exploration const& it)
{
    return out << it.name;
}

world::bounds two_processes()
{
    world::bounds it;
    it.horizon = 6;
    it.all_tick = true;
    return it;
}

world::bounds joining()
{
    world::bounds it;
    it.horizon = 5;
    it.enters = world::joiner::starts;
    it.owner_is_cut_off = true;
    return it;
}

world::bounds dying()
{
    world::bounds it;
    it.horizon = 5;
    it.enters = world::joiner::joined_unseen;
    it.owner_is_cut_off = true;
    it.deaths = true;
    return it;
}

template <class Change>
world::bounds with(world::bounds it, Change const& change)
{
    change(it);
    return it;
}

std::array const s_kept{
    exploration{"two processes, one refused append",
                with(two_processes(), [](auto& it) { it.refusals = 1; })},
    exploration{"two processes, a longer right", with(two_processes(),
                                                      [](auto& it)
                                                      {
                                                          it.right = 4;
                                                          it.horizon = 7;
                                                      })},
    exploration{"two processes, a planned stop", with(two_processes(),
                                                      [](auto& it)
                                                      {
                                                          it.horizon = 6;
                                                          it.stops = "e";
                                                      })},
    exploration{"a joiner while the owner is cut off", joining()},
    exploration{"a member takes over and hands on to a joiner",
                with(dying(),
                     [](auto& it)
                     {
                         it.deaths = false;
                         it.stops = "p";
                     })},
    exploration{"a member dies and is dropped from the list", dying()},
};

std::array const s_broken{
    exploration{"whoever answers may vouch",
                with(two_processes(),
                     [](auto& it)
                     { it.rules.vouch = vouch_rule::whoever_answers; })},
    exploration{"unresolved claims are ignored",
                with(joining(),
                     [](auto& it)
                     { it.rules.unresolved = unresolved_rule::is_ignored; })},
    exploration{"a joiner claims at once",
                with(joining(),
                     [](auto& it)
                     { it.rules.joiners = joiner_rule::claim_at_once; })},
    exploration{"a dropped member is simply exempt",
                with(dying(),
                     [](auto& it)
                     { it.rules.dropped = dropped_rule::is_exempt; })},
};

void print(exploration const& of, findings const& it)
{
    auto text = std::string{of.name} + ": " + std::to_string(it.states) +
                " states, " +
                (it.breaking_run.empty() ? "holds" : "breaks so:");
    for (auto const& label : it.breaking_run)
    {
        text += "\n    " + label;
    }
    BOOST_TEST_MESSAGE(text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(exhaustive)

// Two entries act for the same rack and each places its own tasks there: the
// workers get more than they hold. It would need an owner that goes on without
// the log while another's claim, delayed or unseen, has become active. Every
// order of reads, appends, vouches, joins, deaths and stops up to the bound is
// tried on the real classes; an entry that takes no step is one that is paused.
BOOST_DATA_TEST_CASE(never_do_two_processes_act_for_one_unit, s_kept, it)
{
    auto const found = explore(world{it.limits});
    print(it, found);
    BOOST_TEST(found.is_whole);
    BOOST_TEST(found.breaking_run.empty());
    // The bound is wide enough to matter: the owner went on past its first
    // right, and another process took over.
    BOOST_TEST(found.owner_until > 1 + it.limits.right);
    BOOST_TEST(found.acted.size() > 1U);
}

// The same with one of the rules taken away: each has its breaking run, so
// none of them is there for nothing, and the exploration would see a fault.
BOOST_DATA_TEST_CASE(each_rule_is_needed, s_broken, it)
{
    auto const found = explore(world{it.limits});
    print(it, found);
    BOOST_TEST(!found.breaking_run.empty());
}

BOOST_AUTO_TEST_SUITE_END()
