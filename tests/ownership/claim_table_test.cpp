#include <ownership/claim_table.hpp>
#include <ownership/message.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <ostream>

using namespace berylhill;
using namespace berylhill::ownership;

namespace
{

/// Members "a" and "b", and unit "u" owned by "a" at epoch 2.
claim_table example()
{
    claim_table it;
    it.apply(0, join{"a", "entry-1", "z"});
    it.apply(1, join{"b", "entry-2", "z"});
    it.apply(2, claim{"u", "a", -1});
    return it;
}

struct attempt
{
    char const* name;
    record it;
    bool takes_effect;
};

std::ostream& operator<<(std::ostream& out, attempt const& it)
{
    return out << it.name;
}

std::array const s_attempts{
    attempt{"claim that follows the current owner's claim", claim{"u", "b", 2},
            true},
    attempt{"claim that follows an older state", claim{"u", "b", -1}, false},
    attempt{"claim by a process that has not joined", claim{"u", "c", 2},
            false},
    attempt{"release by the owner", release{"u", "a", 2, ""}, true},
    attempt{"release by another", release{"u", "b", 2, ""}, false},
    attempt{"release of an older epoch", release{"u", "a", 1, ""}, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(table)

BOOST_DATA_TEST_CASE(which_records_take_effect, s_attempts, it)
{
    auto table = example();
    BOOST_TEST(table.apply(3, it.it).effective == it.takes_effect);
}

// Two entries claim the unit of a crashed entry at the same time. Both records
// are in the log, and every reader must determine the same owner.
BOOST_AUTO_TEST_CASE(first_of_two_claims_takes_effect)
{
    auto it = example();
    it.apply(3, join{"c", "entry-3", "z"});
    it.apply(4, seen{"a", 4});
    BOOST_TEST(it.apply(5, claim{"u", "c", 2}).effective);
    BOOST_TEST(!it.apply(6, claim{"u", "b", 2}).effective);
    BOOST_TEST(it.owner_of("u")->incarnation == "c");
    BOOST_TEST(it.owner_of("u")->epoch == 5);
}

BOOST_AUTO_TEST_CASE(new_member_cannot_claim_until_owner_knows_it)
{
    auto it = example();
    it.apply(3, join{"c", "entry-3", "z"});
    BOOST_TEST(!it.may_claim("u", "c"));
    it.apply(4, seen{"a", 4});
    BOOST_TEST(it.may_claim("u", "c"));
    BOOST_TEST(!it.apply(5, claim{"u", "c", 2}).unit_was_free);
}

BOOST_AUTO_TEST_CASE(successor_owns_unit_immediately)
{
    auto it = example();
    auto const done = it.apply(3, release{"u", "a", 2, "b"});
    BOOST_TEST(done.effective);
    BOOST_TEST(done.unit_was_free);
    BOOST_TEST(it.owner_of("u")->incarnation == "b");
    BOOST_TEST(it.owner_of("u")->epoch == 3);
}

// Retention deleted claims while an entry was paused. The entry must not treat
// the units as free, and must not use a snapshot older than the gap.
BOOST_AUTO_TEST_CASE(gap_is_filled_from_snapshot)
{
    auto whole = example();
    auto const old = whole.to_snapshot();
    whole.apply(3, join{"c", "entry-3", "z"});
    whole.apply(4, claim{"v", "c", -1});
    auto const newer = whole.to_snapshot();
    record const last = claim{"w", "b", -1};
    whole.apply(5, last);
    whole.apply(6, old);
    whole.apply(7, newer);

    claim_table it;
    it.apply(0, join{"a", "entry-1", "z"});
    it.reset(5);
    it.apply(5, last);
    it.apply(6, old);
    BOOST_TEST(!it.complete());
    it.apply(7, newer);
    BOOST_TEST(it.complete());
    BOOST_CHECK(it.units() == whole.units());
    BOOST_CHECK(it.members() == whole.members());
}

BOOST_AUTO_TEST_CASE(records_and_messages_survive_json_round_trip)
{
    std::array<record, 7> const all{join{"a", "entry-1", "z"},
                                    leave{"a"},
                                    removal{"a"},
                                    seen{"a", 7},
                                    claim{"u", "a", -1},
                                    release{"u", "a", 2, "b"},
                                    snapshot{9, "{}"}};
    for (auto const& it : all)
    {
        auto const back =
            base::capture([&] { return record_from(to_json(it)); });
        BOOST_REQUIRE(back.has_value());
        BOOST_CHECK(back.value() == it);
    }
    vouch_answer const answer{"a", "entry-1", 3, {"u", "v"}};
    auto const back =
        base::capture([&] { return vouch_answer_from(to_json(answer)); });
    BOOST_REQUIRE(back.has_value());
    BOOST_CHECK(back.value() == answer);
}

BOOST_AUTO_TEST_SUITE_END()
