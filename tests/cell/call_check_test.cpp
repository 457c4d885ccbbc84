#include <cell/call_check.hpp>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace berylhill;
using cell::call_verdict;

namespace
{

constexpr std::int64_t newer_version = 12;

struct call_case
{
    char const* name;
    std::int64_t decided_by;
    std::string queue;
    std::string prefix;
    std::string account;
    std::string key;
    call_verdict verdict;
};

std::ostream& operator<<(std::ostream& to, call_case const& it)
{
    return to << it.name;
}

call_case const call_cases[] = {
    {"nothing has changed", 8, "q", "/q/", "team", "k1", call_verdict::allowed},
    {"its queue is gone", 8, "old", "/old/", "team", "k1",
     call_verdict::no_queue},
    {"its queue has moved", 8, "q", "/before/", "team", "k1",
     call_verdict::no_queue},
    {"its key is gone", 8, "q", "/q/", "team", "k2", call_verdict::no_key},
    {"its account is gone", 8, "q", "/q/", "gone", "k3", call_verdict::no_key},
    {"its queue asked for no key before", 8, "q", "/q/", "", "",
     call_verdict::no_key},
    {"its queue asks for no key", 8, "open", "/open/", "", "",
     call_verdict::allowed},
    {"decided by the same version", 12, "old", "/old/", "team", "k1",
     call_verdict::allowed},
    {"decided by a newer one", 15, "new", "/new/", "team", "k9",
     call_verdict::allowed},
    {"by a release that sends no version", 0, "old", "/old/", "team", "k1",
     call_verdict::allowed},
};

workload::cell_configuration newer()
{
    workload::cell_configuration out;
    out.version = newer_version;
    workload::queue_spec queue;
    queue.name = "q";
    queue.host = "h";
    queue.path_prefix = "/q/";
    out.queues = {queue};
    queue.name = "open";
    queue.path_prefix = "/open/";
    queue.callers = workload::caller_check::none;
    out.queues.push_back(queue);
    out.accounts = workload::account_table{{{"team", {"k1"}, 1, {}}}};
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_check)

/// Guards against a removed route that is still served because the process that
/// accepts the call has an older configuration than the owner.
BOOST_DATA_TEST_CASE(outdated_call_is_detected,
                     boost::unit_test::data::make(call_cases))
{
    cell::job_call it;
    it.configuration = sample.decided_by;
    it.queue = sample.queue;
    it.account = sample.account;
    it.key_digest = cell::digest_of_key(sample.key);
    workload::queue_spec place;
    place.host = "h";
    place.path_prefix = sample.prefix;
    it.route_hash = cell::hash_of_route(place);
    BOOST_TEST((check(it, newer()) == sample.verdict));
}

BOOST_AUTO_TEST_SUITE_END()
