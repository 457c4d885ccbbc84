#include <settings/contract_files.hpp>
#include <settings/contract_schema.hpp>

#include <model/json.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>

using namespace berylhill;

BOOST_AUTO_TEST_SUITE(contract_files)

namespace
{

/// A directory of contract files that goes away with the test.
class scratch_directory
{
public:
    explicit scratch_directory(std::string const& name)
        : m_path{std::filesystem::temp_directory_path() / ("berylhill-" + name)}
    {
        std::filesystem::remove_all(m_path);
        std::filesystem::create_directories(m_path);
    }
    scratch_directory(scratch_directory const&) = delete;
    scratch_directory& operator=(scratch_directory const&) = delete;
    ~scratch_directory()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_path, ec);
    }

    void write(std::string const& name, std::string const& text) const
    {
        std::ofstream{m_path / name} << text;
    }

    [[nodiscard]] std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

std::string findings_in(std::string const& text)
{
    base::findings found;
    (void)settings::read_contract("c.json", text, found);
    return found.text();
}

} // namespace

BOOST_AUTO_TEST_CASE(the_schema_knows_every_member_of_the_model)
{
    model::contract it;
    it.name = "kitakaze";
    it.side = "sapporo";
    it.services = {"report-svc"};
    BOOST_TEST(model::text_of(settings::contract_schema().write(it)) ==
               model::text_of(model::to_json(it)));
    model::job_request job;
    BOOST_TEST(model::text_of(settings::job_request_schema().write(job)) ==
               model::text_of(model::to_json(job)));
}

BOOST_AUTO_TEST_CASE(a_directory_is_read_whole_in_order)
{
    scratch_directory const place{"contracts-good"};
    place.write("b.json", R"({"name": "kitakaze", "side": "sapporo"})");
    place.write("a.json", R"({"name": "cantabrica", "side": "santander"})");
    place.write("README.md", "not a contract");
    base::findings found;
    auto const all = settings::read_contract_directory(place.path(), found);
    BOOST_TEST(found.text() == "");
    BOOST_REQUIRE(all.size() == 2U);
    BOOST_TEST(all[0].name == "cantabrica");
    BOOST_TEST(all[1].name == "kitakaze");
}

BOOST_AUTO_TEST_CASE(the_mistakes_of_all_files_are_reported_together)
{
    scratch_directory const place{"contracts-bad"};
    place.write("a.json", R"({"name": "kitakaze", "side": "sapporo"})");
    place.write("b.json", R"({"name": "kitakaze", "side": "sapporo",
 "wieght": 2})");
    place.write("c.json", R"({"name": "x")");
    base::findings found;
    (void)settings::read_contract_directory(place.path(), found);
    auto const text = found.text();
    BOOST_TEST(text.find("b.json: /name: contract kitakaze is already declared "
                         "in ") != std::string::npos);
    BOOST_TEST(
        text.find("b.json:2: /wieght: unknown member; did you mean weight?") !=
        std::string::npos);
    BOOST_TEST(text.find("c.json:1: column 13: not JSON") != std::string::npos);
}

// Somebody gives the wrong directory to `contract apply`. Taken as a
// declaration of no contracts, it would remove every customer.
BOOST_AUTO_TEST_CASE(a_directory_without_contracts_is_a_finding)
{
    scratch_directory const place{"contracts-empty"};
    base::findings found;
    (void)settings::read_contract_directory(place.path(), found);
    BOOST_TEST(found.text().find("holds no contract file") !=
               std::string::npos);
    base::findings missing;
    (void)settings::read_contract_directory(place.path() + "/nowhere", missing);
    BOOST_TEST(missing.text().find("cannot be read as a directory") !=
               std::string::npos);
}

namespace
{

struct wrong_case
{
    char const* members;
    char const* says;
};

std::ostream& operator<<(std::ostream& out, wrong_case const& it)
{
    return out << it.members;
}

std::array const s_wrong{
    wrong_case{R"("quota": {"millicores": 0})", "quota has no processors"},
    wrong_case{R"("quota": {"millicores": -1})",
               "/quota/millicores: -1 is not an integer from 0 on"},
    wrong_case{R"("urgent_quota": {"millicores": 99000000})",
               "urgent_quota is above quota"},
    wrong_case{R"("services": ["a", "b", "a"])",
               "/services/2: \"a\" stands twice"},
    wrong_case{R"("services": ["A"])",
               "/services/0: \"A\" is not a valid identifier"},
    wrong_case{R"("preferred": "paking")", "did you mean packing?"},
    wrong_case{R"("weight": 0)", "/weight: 0 is not a number from 0.001"},
};

} // namespace

BOOST_DATA_TEST_CASE(a_wrong_contract_is_refused, s_wrong, it)
{
    auto const found =
        findings_in(std::string{R"({"name": "kitakaze", "side": "sapporo", )"} +
                    it.members + "}");
    BOOST_TEST(found.find(it.says) != std::string::npos, found);
}

BOOST_AUTO_TEST_CASE(a_check_over_members_is_quiet_about_a_wrong_member)
{
    auto const found = findings_in(
        R"({"name": "kitakaze", "side": "sapporo", "quota": 7,
           "urgent_quota": {"millicores": 99000000}})");
    BOOST_TEST(found == "c.json:1: /quota: expected object, found a number\n");
}

BOOST_AUTO_TEST_CASE(a_job_without_needs_is_refused)
{
    base::findings found;
    (void)settings::read_job_request(
        "request",
        R"({"contract": "kitakaze", "name": "daily", "tasks": 0,
            "declared": {"memory_mb": 5}})",
        found);
    BOOST_TEST(found.text() ==
               "request:1: /tasks: 0 is not an integer from 1 to 100000\n"
               "request:2: /declared: a task needs some processor and some "
               "memory\n");
}

BOOST_AUTO_TEST_SUITE_END()
