#include <workload/account_table.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace berylhill;

namespace
{

workload::account_spec
account(std::string name, std::vector<std::string> keys, double weight = 1)
{
    return {std::move(name), std::move(keys), weight, {}};
}

struct key_case
{
    char const* name;
    std::string key;
    /// Empty: the key belongs to no account.
    std::string owner;
};

std::ostream& operator<<(std::ostream& to, key_case const& it)
{
    return to << it.name;
}

key_case const keys[] = {
    {"a key", "k1", "first"},
    {"the second key of an account", "k2", "first"},
    {"a key of another account", "k3", "second"},
    {"a duplicate key belongs to the first account", "both", "first"},
    {"an unknown key", "k4", ""},
    {"no key", "", ""},
    {"a key in capitals", "K1", ""},
    {"a key with a trailing space", "k1 ", ""},
    {"a key of 10 kB", std::string(10'240, 'k'), ""},
    {"invalid UTF-8", "\xff\xfe", ""},
};

struct invalid_case
{
    char const* name;
    workload::account_spec second;
    /// A part of the text of the findings; empty: no findings.
    std::string found;
};

std::ostream& operator<<(std::ostream& to, invalid_case const& it)
{
    return to << it.name;
}

workload::account_spec capped(workload::resources const& cap)
{
    return {"second", {"secret"}, 1, cap};
}

invalid_case const invalid_cases[] = {
    {"a valid account", account("second", {"secret"}), ""},
    {"a key of another account", account("second", {"x", "k1"}),
     "/accounts/second/keys/1"},
    {"a name of another account", account("first", {"secret"}),
     "/accounts/first"},
    {"a negative weight", account("second", {"secret"}, -1),
     "/accounts/second/weight"},
    {"a negative cap: processor", capped({-1, 0, 0}), "/accounts/second/cap"},
    {"a negative cap: memory", capped({0, -1, 0}), "/accounts/second/cap"},
    {"a negative cap: accelerators", capped({0, 0, -1}),
     "/accounts/second/cap"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(account_table)

BOOST_DATA_TEST_CASE(a_key_identifies_its_account,
                     boost::unit_test::data::make(keys))
{
    workload::account_table const table{{account("first", {"k1", "k2", "both"}),
                                         account("second", {"k3", "both"})}};
    auto const* const owner = table.find_by_key(sample.key);
    BOOST_TEST((owner == nullptr ? "" : owner->name) == sample.owner);
}

BOOST_DATA_TEST_CASE(errors_are_found_with_their_location,
                     boost::unit_test::data::make(invalid_cases))
{
    auto const found = workload::check(
        workload::account_table{{account("first", {"k1"}), sample.second}});
    BOOST_TEST(found.empty() == sample.found.empty());
    BOOST_TEST(found.text().find(sample.found) != std::string::npos);
    BOOST_TEST(found.text().find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
