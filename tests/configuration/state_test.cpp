#include <configuration/difference.hpp>
#include <configuration/state.hpp>
#include <model/json.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace berylhill;
using namespace berylhill::configuration;

BOOST_AUTO_TEST_SUITE(state_of_configuration)

namespace
{

model::contract contract_of(std::string name, double weight)
{
    model::contract it;
    it.name = std::move(name);
    it.side = "sapporo";
    it.weight = weight;
    return it;
}

apply_change
apply_of(std::string id, std::int64_t based_on, std::string name, double weight)
{
    apply_change it;
    it.id = id;
    it.based_on = based_on;
    it.operator_name = "operator-" + id;
    it.contracts.push_back(contract_of(std::move(name), weight));
    return it;
}

double weight_in(state const& it, std::string const& name)
{
    auto const found = it.find(name);
    BOOST_REQUIRE(found.has_value());
    return found->contract.weight;
}

bool won(state const& it, std::string const& id)
{
    auto const verdict = it.verdict_of(id);
    BOOST_REQUIRE(verdict.has_value());
    return verdict->won();
}

/// A stream as everybody would read it from the beginning.
struct stream
{
    std::vector<std::vector<change>> records;

    void add(std::vector<change> changes)
    {
        records.push_back(std::move(changes));
    }

    [[nodiscard]] std::int64_t next() const
    {
        return std::ssize(records);
    }

    void read(state& into, std::int64_t from) const
    {
        for (auto i = from; i < next(); ++i)
        {
            into.fold(i, records[static_cast<std::size_t>(i)]);
        }
    }
};

} // namespace

// Ten operators change the same contract at the same time, round after round.
// Each has looked at the version that the round began with. Without the check
// of the version all ten would believe they won, and nine changes would be
// overwritten without anybody being told.
BOOST_AUTO_TEST_CASE(of_ten_racing_operators_one_wins_each_version)
{
    std::mt19937 random{7};
    state reader;
    stream log;
    for (int round = 0; round < 20; ++round)
    {
        auto const based_on = reader.offset();
        std::vector<std::string> ids;
        ids.reserve(10);
        for (int n = 0; n < 10; ++n)
        {
            ids.push_back(std::to_string(round) + "-" + std::to_string(n));
        }
        std::shuffle(ids.begin(), ids.end(), random);
        auto const begin = log.next();
        std::vector<change> batch;
        for (auto const& id : ids)
        {
            batch.emplace_back(apply_of(id, based_on, "kitakaze", 1 + round));
            // Group commit puts some of them into one record.
            if (random() % 2 == 0)
            {
                log.add(std::exchange(batch, {}));
            }
        }
        log.add(batch);
        log.read(reader, begin);
        BOOST_TEST(std::count_if(ids.begin(), ids.end(),
                                 [&](auto const& id)
                                 { return won(reader, id); }) == 1);
        BOOST_TEST(won(reader, ids.front()));
        auto const lost = reader.verdict_of(ids.back());
        BOOST_REQUIRE(lost->conflicts.size() == 1U);
        BOOST_TEST(lost->conflicts[0].later[0].operator_name ==
                   "operator-" + ids.front());
    }
}

// An operator's apply is appended, its answer is lost, and the sender appends
// it again. Judged twice, the second record loses against the first, and the
// operator is told "lost" about a change that is in force.
BOOST_AUTO_TEST_CASE(a_repeated_record_keeps_its_first_verdict)
{
    state reader;
    auto const it = apply_of("a", -1, "kitakaze", 2);
    reader.fold(0, {it});
    reader.fold(1, {apply_of("b", 0, "kitakaze", 3)});
    reader.fold(2, {it});
    BOOST_TEST(won(reader, "a"));
    BOOST_TEST(reader.verdict_of("a")->offset == 0);
    BOOST_TEST(weight_in(reader, "kitakaze") == 3);
}

// A writer's answer is lost and it appends the record again. Readers drop the
// second record before it gets here, so the offsets that are folded jump. Taken
// for lost records, the jump would leave every entry waiting for a snapshot,
// and no change would come in force any more.
BOOST_AUTO_TEST_CASE(a_jump_between_offsets_is_not_a_loss)
{
    state reader;
    reader.fold(0, {apply_of("a", -1, "kitakaze", 2)});
    reader.fold(2, {apply_of("b", 0, "kitakaze", 3)});
    BOOST_TEST(reader.complete());
    BOOST_TEST(weight_in(reader, "kitakaze") == 3);
}

// One operator removes a contract while another, who has not seen that,
// changes it. Without the memory of removals the change would bring the
// contract back to life.
BOOST_AUTO_TEST_CASE(a_change_of_a_removed_contract_loses)
{
    state reader;
    reader.fold(0, {apply_of("a", -1, "kitakaze", 2)});
    apply_change removal;
    removal.id = "b";
    removal.based_on = 0;
    removal.operator_name = "begona";
    removal.removed = {"kitakaze"};
    reader.fold(1, {removal});
    reader.fold(2, {apply_of("c", 0, "kitakaze", 3)});
    BOOST_TEST(!reader.find("kitakaze").has_value());
    auto const verdict = reader.verdict_of("c");
    BOOST_REQUIRE(!verdict->won());
    BOOST_TEST(text_of(verdict->conflicts[0]) ==
               "kitakaze was removed by begona at version 1\n");
    reader.fold(3, {apply_of("d", 2, "kitakaze", 4)});
    BOOST_TEST(won(reader, "d"));
}

BOOST_AUTO_TEST_CASE(an_apply_is_all_or_nothing)
{
    state reader;
    reader.fold(0, {apply_of("a", -1, "kitakaze", 2)});
    reader.fold(1, {apply_of("b", 0, "kitakaze", 5)});
    auto both = apply_of("c", 0, "cantabrica", 1);
    both.contracts.push_back(contract_of("kitakaze", 9));
    reader.fold(2, {both});
    BOOST_TEST(!won(reader, "c"));
    BOOST_TEST(!reader.find("cantabrica").has_value());
}

BOOST_AUTO_TEST_CASE(changes_of_different_contracts_do_not_race)
{
    state reader;
    reader.fold(0, {apply_of("a", -1, "kitakaze", 2),
                    apply_of("b", -1, "cantabrica", 2)});
    BOOST_TEST(won(reader, "a"));
    BOOST_TEST(won(reader, "b"));
}

// An entry writes a snapshot, but the log is slow: a change lands before it.
// A reader that took the snapshot would revert the change.
BOOST_AUTO_TEST_CASE(a_snapshot_never_reverts_a_later_change)
{
    state reader;
    reader.fold(0, {apply_of("a", -1, "kitakaze", 2)});
    auto const snapshot = reader.to_snapshot();
    reader.fold(1, {apply_of("b", 0, "kitakaze", 3)});
    reader.fold(2, {snapshot});
    BOOST_TEST(weight_in(reader, "kitakaze") == 3);
    BOOST_TEST(reader.find("kitakaze")->version == 1);
}

// Retention has dropped the record with version 1. A new instance begins to
// read behind it and meets an apply that everybody else saw lose against
// version 1. Judged without that knowledge it would win here only, and this
// instance would hold another configuration than the cell for good.
BOOST_AUTO_TEST_CASE(a_late_reader_waits_for_the_snapshot_and_agrees)
{
    state from_start;
    stream log;
    log.add({apply_of("a", -1, "kitakaze", 1)});
    log.add({apply_of("b", 0, "kitakaze", 2)});
    log.read(from_start, 0);
    auto const snapshot = from_start.to_snapshot();
    log.add({apply_of("stale", 0, "kitakaze", 99)});
    log.add({snapshot});
    log.add({apply_of("c", 2, "kitakaze", 4)});
    log.read(from_start, 2);

    state late;
    late.truncated(2);
    late.fold(2, log.records[2]);
    BOOST_TEST(!late.complete());
    BOOST_TEST(late.contracts().empty());
    late.fold(3, log.records[3]);
    late.fold(4, log.records[4]);
    BOOST_TEST(late.complete());
    BOOST_TEST(weight_in(late, "kitakaze") == 4);
    BOOST_CHECK(late.contracts() == from_start.contracts());
    BOOST_TEST(!won(late, "stale"));
    BOOST_TEST(!late.verdict_of("stale")->conflicts[0].later.empty());
}

// A reader was paused past retention. Records between are gone, and the first
// snapshot that it meets ends before the first record it has: what lies between
// is still unknown, so the records that wait must not be judged yet.
BOOST_AUTO_TEST_CASE(a_snapshot_that_leaves_a_gap_is_not_enough)
{
    state writer;
    writer.fold(0, {apply_of("a", -1, "kitakaze", 1)});
    auto sleeper = writer;
    writer.fold(1, {apply_of("b", 0, "kitakaze", 2)});
    auto const old = writer.to_snapshot();
    for (std::int64_t i = 2; i < 6; ++i)
    {
        writer.fold(i, {apply_of(std::to_string(i), i - 1, "kitakaze",
                                 static_cast<double>(i))});
    }
    sleeper.truncated(5);
    sleeper.fold(5, {old, apply_of("stale", 1, "kitakaze", 99)});
    BOOST_TEST(!sleeper.complete());
    BOOST_TEST(weight_in(sleeper, "kitakaze") == 2);
    sleeper.fold(6, {writer.to_snapshot()});
    BOOST_TEST(sleeper.complete());
    BOOST_TEST(sleeper.offset() == 6);
    BOOST_TEST(weight_in(sleeper, "kitakaze") == 5);
}

// An instance starts while the log is down and asks two peers. One of them was
// paused and answers with an old state after the other's newer one.
BOOST_AUTO_TEST_CASE(a_stale_peer_never_replaces_a_newer_state)
{
    state stale;
    stale.fold(0, {apply_of("a", -1, "kitakaze", 1)});
    auto fresh = stale;
    fresh.fold(1, {apply_of("b", 0, "kitakaze", 2)});
    auto const sent = [](state const& it)
    {
        auto const back =
            base::capture([&] { return state::from_json(it.to_json()); });
        BOOST_REQUIRE(back.has_value());
        return back.value();
    };
    state starting;
    BOOST_TEST(starting.adopt(sent(fresh)));
    BOOST_TEST(!starting.adopt(sent(stale)));
    BOOST_TEST(weight_in(starting, "kitakaze") == 2);
    BOOST_TEST(won(starting, "b"));
    BOOST_TEST(starting.history_of("kitakaze").size() == 2U);
    BOOST_TEST(model::text_of(starting.to_json()) ==
               model::text_of(fresh.to_json()));
}

BOOST_AUTO_TEST_CASE(an_incomplete_peer_is_not_believed)
{
    state peer;
    peer.fold(0, {apply_of("a", -1, "kitakaze", 1)});
    peer.truncated(10);
    auto const sent =
        base::capture([&] { return state::from_json(peer.to_json()); });
    BOOST_REQUIRE(sent.has_value());
    state starting;
    BOOST_TEST(!starting.adopt(sent.value()));
    BOOST_TEST(starting.offset() == -1);
}

BOOST_AUTO_TEST_CASE(a_peer_fills_the_gap_and_waiting_records_follow)
{
    state peer;
    peer.fold(0, {apply_of("a", -1, "kitakaze", 1)});
    peer.fold(1, {apply_of("b", 0, "kitakaze", 2)});
    state late;
    late.truncated(2);
    late.fold(2, {apply_of("c", 1, "kitakaze", 3)});
    BOOST_TEST(!late.complete());
    BOOST_TEST(late.adopt(peer));
    BOOST_TEST(late.complete());
    BOOST_TEST(late.offset() == 2);
    BOOST_TEST(weight_in(late, "kitakaze") == 3);
}

BOOST_AUTO_TEST_CASE(a_stop_ends_by_its_own_announcement_only)
{
    auto const kind = model::endpoint_kind::worker;
    state reader;
    reader.fold(0, {stop_change{kind, "w-1", "aiko", 0}});
    reader.fold(1, {stop_change{kind, "w-1", "begona", 0}});
    BOOST_TEST(reader.stop_of(kind, "w-1")->announced == 0);
    BOOST_TEST(reader.is_stopping(kind, "w-1"));
    BOOST_TEST(!reader.is_stopping(model::endpoint_kind::minion, "w-1"));
    reader.fold(2, {stop_done_change{kind, "w-1", 0, 0}});
    BOOST_TEST(!reader.is_stopping(kind, "w-1"));
    reader.fold(3, {stop_change{kind, "w-1", "aiko", 0}});
    reader.fold(4, {stop_done_change{kind, "w-1", 0, 0}});
    BOOST_TEST(reader.is_stopping(kind, "w-1"));
}

BOOST_AUTO_TEST_CASE(memory_stays_bounded)
{
    state reader;
    for (std::int64_t i = 0; i < 3'000; ++i)
    {
        auto const endpoint = "w-" + std::to_string(i);
        auto const kind = model::endpoint_kind::worker;
        reader.fold(3 * i, {apply_of(std::to_string(i), 3 * i - 1, "kitakaze",
                                     1.0 + static_cast<double>(i % 2))});
        reader.fold(3 * i + 1, {stop_change{kind, endpoint, "aiko", 0}});
        reader.fold(3 * i + 2,
                    {stop_done_change{kind, endpoint, 3 * i + 1, 0}});
    }
    BOOST_TEST(reader.history_of("kitakaze").size() == 32U);
    BOOST_TEST(reader.stops().size() == 256U);
    BOOST_TEST(!reader.verdict_of("0").has_value());
    BOOST_TEST(won(reader, "2999"));
}

namespace
{

std::array const s_changes{
    change{apply_of("a", 3, "kitakaze", 2)},
    change{stop_change{model::endpoint_kind::minion, "m-1", "aiko", 5}},
    change{stop_done_change{model::endpoint_kind::entry, "e-1", 4, 5}},
};

} // namespace

BOOST_AUTO_TEST_CASE(a_change_comes_back_equal)
{
    for (auto const& it : s_changes)
    {
        auto const back =
            base::capture([&] { return change_from(to_json(it)); });
        BOOST_REQUIRE(back.has_value());
        BOOST_CHECK(back.value() == it);
    }
}

namespace
{

std::array const s_wrong{
    R"([])",
    R"({"kind":"later-version"})",
    R"({"kind":"apply","id":"a"})",
    R"({"kind":"stop","endpoint_kind":"boat","id":"a","operator":"o","at_us":1})",
};

} // namespace

BOOST_DATA_TEST_CASE(a_malformed_change_is_refused, s_wrong, text)
{
    auto const back = base::capture(
        [&]() -> base::result<change>
        {
            BOOST_LEAF_AUTO(value, model::parse_json(text));
            return change_from(value);
        });
    BOOST_TEST(!back.has_value());
}

BOOST_AUTO_TEST_CASE(the_difference_names_members)
{
    auto changed = contract_of("kitakaze", 2);
    changed.quota.millicores = 5;
    auto const it =
        difference_between({contract_of("kitakaze", 1), contract_of("old", 1)},
                           {changed, contract_of("cantabrica", 1)});
    BOOST_TEST(text_of(it) == "+ cantabrica\n"
                              "~ kitakaze\n"
                              "    /quota/millicores: 64000 -> 5\n"
                              "    /weight: 1.0 -> 2.0\n"
                              "- old\n");
    BOOST_TEST(difference_between({changed}, {changed}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
