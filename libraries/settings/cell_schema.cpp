#include <settings/cell_schema.hpp>

#include <settings/file.hpp>
#include <settings/schema.hpp>

namespace berylhill::settings
{

namespace
{

/// An address that may be left out.
class optional_address_kind final : public value_kind<std::string>
{
public:
    [[nodiscard]] std::string name() const override
    {
        return m_address->name() + ", or empty";
    }

    void read(located_value const& from,
              std::string& into,
              base::findings& found) const override
    {
        if (from.json().isString() && from.json().asString().empty())
        {
            into.clear();
            return;
        }
        m_address->read(from, into, found);
    }

    [[nodiscard]] Json::Value write(std::string const& it) const override
    {
        return m_address->write(it);
    }

private:
    kind_pointer<std::string> m_address{address()};
};

kind_pointer<std::string> optional_address()
{
    return std::make_shared<optional_address_kind>();
}

constexpr std::size_t longest_name = 200;

kind_pointer<cell_listen_settings> listen_kind()
{
    using section = cell_listen_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"callers", "", "For clients.", presence::required},
            &section::callers, address());
    it->add({"readiness", "", "For the platform's probes.", presence::required},
            &section::readiness, address());
    it->add({"peer", "", "For the other processes of the cell.",
             presence::required},
            &section::peer, address());
    it->add({"peer_advertised", "",
             "Where they reach it if that is another address."},
            &section::peer_advertised, optional_address());
    it->add(
        {"metrics", "", "For those who collect metrics.", presence::required},
        &section::metrics, address());
    return it;
}

kind_pointer<cell_platform_settings> platform_kind()
{
    using section = cell_platform_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"store", "", "The log service.", presence::required},
            &section::store, address());
    it->add({"advice", "",
             "The service that knows which instances a queue may use."},
            &section::advice, optional_address());
    it->add({"machines", "", "The service that moves and services machines."},
            &section::machines, optional_address());
    // Below this, the state of a few tasks does not fit into a record.
    constexpr std::int64_t least_bytes = 4'096;
    constexpr std::int64_t most_bytes = 1'073'741'824;
    it->add({"record_bytes", "bytes", "The store takes no larger record."},
            &section::record_bytes, integer(least_bytes, most_bytes));
    it->add({"append_bytes", "bytes",
             "The store takes no more in the records of one append."},
            &section::append_bytes, integer(least_bytes, most_bytes));
    return it;
}

kind_pointer<cell_bound_settings> bounds_kind()
{
    using section = cell_bound_settings;
    constexpr double day_s = 86'400;
    auto it = std::make_shared<schema<section>>();
    it->add({"longest_lease_ms", "ms",
             "The longest lease that an instance grants."},
            &section::longest_lease_ms, integer(1'000, 3'600'000));
    it->add({"stop_grace_s", "s",
             "From SIGTERM until the process is ended by force."},
            &section::stop_grace_s, number(0.5, day_s));
    it->add({"status_kept_s", "s",
             "How long the state of a finished job can be asked for."},
            &section::status_kept_s, number(1, day_s));
    it->add({"heartbeat_ms", "ms",
             "How often an instance writes its entry in the endpoint list."},
            &section::heartbeat_ms, integer(100, 600'000));
    it->add({"contact_ms", "ms",
             "For how long, beyond a heartbeat, a change of an instance may be "
             "unknown to this process."},
            &section::contact_ms, integer(1'000, 600'000));
    it->add({"configuration_ms", "ms",
             "From an accepted configuration until it is in force."},
            &section::configuration_ms, integer(100, 3'600'000));
    return it;
}

kind_pointer<cell_limit_settings> limits_kind()
{
    using section = cell_limit_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"memory_mb", "MB", "More ends the process."}, &section::memory_mb,
            integer(16, 1'048'576));
    it->add({"descriptors", "", "Files and sockets together."},
            &section::descriptors, integer(64, 10'000'000));
    constexpr double most_cores = 4'096;
    it->add({"cores", "cores",
             "Processor time; the work is owned where there is most of it."},
            &section::cores, number(0.01, most_cores));
    constexpr double most_mbps = 10'000'000;
    it->add({"link_mbps", "Mbit/s",
             "What the machine's link carries; copies of the configuration for "
             "other processes take a part of it."},
            &section::link_mbps, number(0.01, most_mbps));
    constexpr std::int64_t most_mb = 1'048'576;
    it->add({"work_mb", "MB",
             "Accepted work takes no more of the memory, and no more than "
             "half of it; more is refused until some has ended. The same on "
             "every process."},
            &section::work_mb, integer(1, most_mb));
    constexpr std::int64_t most_steps = 1'000'000;
    it->add({"job_steps", "steps", "A job of more steps is refused."},
            &section::job_steps, integer(1, most_steps));
    constexpr std::int64_t most_fields = 100'000;
    it->add({"request_fields", "fields",
             "A request of more header and trailer fields is refused."},
            &section::request_fields, integer(8, most_fields));
    return it;
}

kind_pointer<cell_settings> make_schema()
{
    using enum base::log_level;
    using section = cell_settings;
    auto it = std::make_shared<schema<section>>();
    it->add({"instance", "", "The name of this instance.", presence::required},
            &section::instance, text(longest_name));
    it->add({"zone", "", "Its availability zone.", presence::required},
            &section::zone, text(longest_name));
    it->add({"listen", "", "Where it accepts connections.", presence::required},
            &section::listen, listen_kind());
    it->add({"platform", "", "The platform's services.", presence::required},
            &section::platform, platform_kind());
    it->add({"bounds", "", "What the platform promises or demands."},
            &section::bounds, bounds_kind());
    it->add({"limits", "", "What the machine gives."}, &section::limits,
            limits_kind());
    it->add({"log_level", "", "The least level that is written."},
            &section::log_level,
            choice<base::log_level>({{debug, "debug"},
                                     {info, "info"},
                                     {warning, "warning"},
                                     {error, "error"}}));
    return it;
}

} // namespace

value_kind<cell_settings> const& cell_schema()
{
    static auto const s_schema = make_schema();
    return *s_schema;
}

cell_settings load_cell_settings(std::string const& path, base::findings& found)
{
    cell_settings out;
    auto const text = base::capture([&] { return read_file(path); });
    if (!text)
    {
        found.add({path, 0, {}, text.error().message});
        return out;
    }
    document const parsed{path, text.value(), found};
    if (parsed.readable())
    {
        cell_schema().read(parsed.root(), out, found);
    }
    return out;
}

} // namespace berylhill::settings
