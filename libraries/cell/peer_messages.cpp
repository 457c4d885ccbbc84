#include <cell/peer_messages.hpp>

#include <json_codec/reader.hpp>
#include <scheduler/record.hpp>

namespace berylhill::cell
{

namespace
{

namespace json = boost::json;

base::duration micros(json::value const& it, std::string_view name)
{
    return base::duration{json_codec::number_or(it, name)};
}

network::socket_address address_in(json::value const& it, std::string_view name)
{
    return network::address_or_empty(json_codec::text_or(it, name));
}

json::object object_of(owner_view const& it)
{
    return {{"token", it.token},
            {"instance", it.instance},
            {"address", text_of(it.address)},
            {"incarnation", it.incarnation}};
}

owner_view owner_in(json::value const& it)
{
    return {static_cast<std::uint64_t>(json_codec::number_or(it, "token")),
            json_codec::text_or(it, "instance"), address_in(it, "address"),
            json_codec::text_or(it, "incarnation")};
}

json::object object_of(peer const& it)
{
    return {{"instance", it.instance},
            {"address", text_of(it.address)},
            {"millicores", it.millicores}};
}

peer peer_in(json::value const& it)
{
    return {json_codec::text_or(it, "instance"), address_in(it, "address"),
            json_codec::number_or(it, "millicores")};
}

json::array array_of(configuration_age const& it)
{
    return {it.version, it.age.count()};
}

/// Empty if the sender runs a release without this field.
configuration_age configuration_in(json::value const& it)
{
    auto const& row = json_codec::array_or_empty(it, "configuration");
    return row.size() == 2
               ? configuration_age{json_codec::as_number(row[0]),
                                   base::duration{
                                       json_codec::as_number(row[1])}}
               : configuration_age{};
}

json::array array_of(log_end_age const& it)
{
    return {it.end, it.age.count()};
}

/// Empty if the sender runs a release without this field.
log_end_age list_end_in(json::value const& it)
{
    auto const& row = json_codec::array_or_empty(it, "list_end");
    return row.size() == 2
               ? log_end_age{static_cast<std::uint64_t>(
                                 json_codec::as_number(row[0])),
                             base::duration{json_codec::as_number(row[1])}}
               : log_end_age{};
}

json::array array_of(store_evidence const& it)
{
    return {it.served_after, it.turned_away};
}

/// Empty if the sender runs a release without this field.
std::optional<store_evidence> evidence_in(json::value const& it)
{
    auto const& row = json_codec::array_or_empty(it, "store");
    return row.size() == 2 && row[1].is_bool()
               ? std::optional{store_evidence{json_codec::as_number(row[0]),
                                              row[1].as_bool()}}
               : std::nullopt;
}

template <class Enum>
base::result<Enum>
enum_in(json::value const& it, std::string_view name, Enum last)
{
    auto const n = json_codec::number_or(it, name, -1);
    if (n < 0 || n > static_cast<std::int64_t>(last))
    {
        return base::fail(base::failure_code::invalid,
                          "no valid member " + std::string{name});
    }
    return static_cast<Enum>(n);
}

} // namespace

std::string text_of(owner_view const& it)
{
    return json::serialize(object_of(it));
}

base::result<owner_view> parse_owner(std::string_view text)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(text));
    return owner_in(root);
}

std::string text_of(watch_answer const& it)
{
    json::array peers;
    for (auto const& entry : it.peers.peers)
    {
        peers.emplace_back(object_of(entry));
    }
    return json::serialize(
        json::object{{"owns", it.owns},
                     {"restoring", it.restoring},
                     {"taking_over", it.taking_over},
                     {"leaving", it.leaving},
                     {"overloaded_owners", it.overloaded_owners},
                     {"store_stuck", it.store_stuck.count()},
                     {"store_refuses", it.store_refuses},
                     {"owner", object_of(it.owner)},
                     {"owner_heard", it.owner_heard},
                     {"watchers", it.watchers},
                     {"digest", it.peers.digest},
                     {"configuration", array_of(it.configuration)},
                     {"list_end", array_of(it.list_end)},
                     {"stamp", it.stamp},
                     {"asks_evidence", it.asks_evidence},
                     {"successor", it.successor == network::socket_address{}
                                       ? std::string{}
                                       : text_of(it.successor)},
                     {"replaced_owners", it.replaced_owners},
                     {"peers", std::move(peers)}});
}

base::result<watch_answer> parse_watch(std::string_view text)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(text));
    watch_answer out;
    out.owns = json_codec::flag_or(root, "owns");
    out.restoring = json_codec::flag_or(root, "restoring");
    out.taking_over = json_codec::flag_or(root, "taking_over");
    out.leaving = json_codec::flag_or(root, "leaving");
    out.overloaded_owners = static_cast<std::uint32_t>(
        json_codec::number_or(root, "overloaded_owners"));
    out.store_stuck = micros(root, "store_stuck");
    out.store_refuses = json_codec::flag_or(root, "store_refuses");
    out.owner_heard = json_codec::flag_or(root, "owner_heard");
    if (auto const* const owner = json_codec::member(root, "owner");
        owner != nullptr)
    {
        out.owner = owner_in(*owner);
    }
    for (auto const& it : json_codec::array_or_empty(root, "peers"))
    {
        out.peers.peers.push_back(peer_in(it));
    }
    out.peers.digest = json_codec::number_or(root, "digest");
    out.configuration = configuration_in(root);
    out.list_end = list_end_in(root);
    out.stamp = json_codec::number_or(root, "stamp");
    out.asks_evidence = json_codec::flag_or(root, "asks_evidence");
    out.successor = address_in(root, "successor");
    out.replaced_owners = static_cast<std::uint32_t>(
        json_codec::number_or(root, "replaced_owners"));
    out.watchers = static_cast<std::size_t>(
        json_codec::number_or(root, "watchers", std::ssize(out.peers.peers)));
    return out;
}

/// The members of `from` and the digest are in the same object.
std::string text_of(watch_request const& it)
{
    auto out = object_of(it.from);
    out["known"] = it.known;
    out["configuration"] = array_of(it.configuration);
    if (it.store)
    {
        out["store"] = array_of(*it.store);
    }
    return json::serialize(out);
}

base::result<watch_request> parse_watch_request(std::string_view text)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(text));
    return watch_request{peer_in(root), json_codec::number_or(root, "known"),
                         configuration_in(root), evidence_in(root)};
}

std::string text_of(configuration_record const& it)
{
    return json::serialize(
        json::object{{"key", it.key}, {"value", it.value}, {"next", it.next}});
}

base::result<configuration_record> parse_configuration(std::string_view text)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(text));
    return configuration_record{
        json_codec::text_or(root, "key"), json_codec::text_or(root, "value"),
        static_cast<std::uint64_t>(json_codec::number_or(root, "next"))};
}

std::string text_of(job_call const& it)
{
    json::object out{{"kind", static_cast<int>(it.kind)},
                     {"queue", it.queue},
                     {"account", it.account},
                     {"configuration", it.configuration},
                     {"place", it.route_hash},
                     {"key", it.key_digest},
                     {"job", text_of(it.job)},
                     {"patience", it.timeout.count()},
                     {"repeated", it.repeated}};
    if (it.kind == job_call_kind::submit)
    {
        out["spec"] =
            scheduler::spec_value(scheduler::job{it.spec, 0, base::instant{}});
    }
    return json::serialize(out);
}

base::result<job_call> parse_job_call(std::string_view text)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(text));
    job_call out;
    BOOST_LEAF_ASSIGN(out.kind, enum_in(root, "kind", job_call_kind::pending));
    out.queue = json_codec::text_or(root, "queue");
    out.account = json_codec::text_or(root, "account");
    out.configuration = json_codec::number_or(root, "configuration");
    out.route_hash =
        static_cast<std::uint64_t>(json_codec::number_or(root, "place"));
    out.key_digest =
        static_cast<std::uint64_t>(json_codec::number_or(root, "key"));
    BOOST_LEAF_ASSIGN(out.job,
                      workload::parse_job_id(json_codec::text_or(root, "job")));
    out.timeout = micros(root, "patience");
    // A process that runs an older release does not say so.
    out.repeated = json_codec::flag_or(root, "repeated");
    if (out.kind == job_call_kind::submit)
    {
        BOOST_LEAF_AUTO(spec, scheduler::parse_spec_value(
                                  out.job, json_codec::text_or(root, "spec")));
        out.spec = std::move(spec.spec);
    }
    return out;
}

std::string text_of(job_answer const& it)
{
    return json::serialize(
        json::object{{"kind", static_cast<int>(it.kind)},
                     {"phase", static_cast<int>(it.phase)},
                     {"pending", it.pending},
                     {"retry_after", it.retry_after.count()}});
}

base::result<job_answer> parse_job_answer(std::string_view text)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(text));
    job_answer out;
    BOOST_LEAF_ASSIGN(out.kind,
                      enum_in(root, "kind", job_answer_kind::too_large));
    BOOST_LEAF_ASSIGN(out.phase,
                      enum_in(root, "phase", scheduler::job_phase::cancelled));
    out.pending =
        static_cast<std::size_t>(json_codec::number_or(root, "pending"));
    out.retry_after = micros(root, "retry_after");
    return out;
}

std::string text_of(advice_request const& it)
{
    return json::serialize(json::object{
        {"step", it.step},
        {"instances", json::array(it.instances.begin(), it.instances.end())},
        {"timeout", it.timeout.count()}});
}

base::result<advice_request> parse_advice_request(std::string_view text)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(text));
    advice_request out;
    out.step = json_codec::text_or(root, "step");
    for (auto const& it : json_codec::array_or_empty(root, "instances"))
    {
        out.instances.push_back(json_codec::as_text(it));
    }
    out.timeout = micros(root, "timeout");
    return out;
}

std::string text_of(advice_result const& it)
{
    json::array rows;
    for (auto const& entry : it.allowed)
    {
        rows.emplace_back(json::array{entry.instance, entry.ticket});
    }
    return json::serialize(json::object{{"answered", it.answered},
                                        {"allowed", std::move(rows)},
                                        {"validity", it.validity.count()}});
}

base::result<advice_result> parse_advice_result(std::string_view text)
{
    BOOST_LEAF_AUTO(root, json_codec::parse(text));
    advice_result out;
    out.answered = json_codec::flag_or(root, "answered");
    out.validity = micros(root, "validity");
    for (auto const& it : json_codec::array_or_empty(root, "allowed"))
    {
        auto const* const row = it.if_array();
        if (row != nullptr && row->size() == 2)
        {
            out.allowed.push_back({json_codec::as_text((*row)[0]),
                                   json_codec::as_text((*row)[1])});
        }
    }
    return out;
}

} // namespace berylhill::cell
