#include <entry/log_followers.hpp>

#include <base/log.hpp>
#include <configuration/change.hpp>
#include <entry/call_front.hpp>
#include <entry/entry_node.hpp>
#include <entry/messages.hpp>
#include <stream/log_reader.hpp>

#include <caf/all.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace berylhill::entry
{

namespace
{

using page_handler = std::function<void(stream::reader_page&&)>;

constexpr auto s_pause = std::chrono::milliseconds{200};
/// The right to act ends some time after the last read began, so that reads
/// of the ownership stream must not wait long.
constexpr base::duration s_ownership_wait = std::chrono::milliseconds{500};
constexpr base::duration s_peer_limit = std::chrono::seconds{1};

/// Follows one stream on a thread of its own.
void follow(entry_node& self,
            std::string const& stream,
            base::duration wait,
            page_handler take,
            std::function<void()> unreachable)
{
    self.system.spawn<caf::detached>(
        [&self, stream, wait, take = std::move(take),
         unreachable = std::move(unreachable)](caf::blocking_actor*)
        {
            stream::log_reader reader{self.log, self.clock, stream};
            while (!self.handed_over)
            {
                auto page = base::capture([&] { return reader.poll(wait); });
                if (page)
                {
                    take(std::move(page.value()));
                    continue;
                }
                unreachable();
                std::this_thread::sleep_for(s_pause);
            }
        });
}

/// The changes of each record, in log order.
std::map<std::int64_t, std::vector<configuration::change>>
changes_in(stream::reader_page const& page)
{
    std::map<std::int64_t, std::vector<configuration::change>> out;
    for (auto const& it : page.entries)
    {
        auto& changes = out[it.at.offset];
        auto const change =
            base::capture([&] { return configuration::change_from(it.value); });
        if (change)
        {
            changes.push_back(change.value());
            continue;
        }
        base::log(
            base::log_level::warning, "configuration_record_ignored",
            {{"offset", it.at.offset}, {"cause", change.error().message}});
    }
    return out;
}

void take_configuration(entry_node& self, stream::reader_page const& page)
{
    auto const changes = changes_in(page);
    self.configuration.change(
        [&](configuration::state& it)
        {
            if (page.missed)
            {
                it.truncated(page.missed->to);
            }
            for (auto const& record : changes)
            {
                it.fold(record.first, record.second);
            }
        });
}

/// An entry that starts while the log is out, or after retention has dropped
/// what it never read, takes the configuration from a peer. It never goes back
/// to an older one.
void adopt_from_peers(entry_node& self)
{
    for (auto const& it : self.view.get()->peers)
    {
        auto const state = base::capture(
            [&]() -> base::result<configuration::state>
            {
                BOOST_LEAF_AUTO(
                    answer, self.peers.call(
                                it.second.peer_address, "configuration",
                                Json::Value{Json::objectValue}, s_peer_limit));
                return configuration::state::from_json(answer["state"]);
            });
        if (state)
        {
            self.configuration.change([&](configuration::state& known)
                                      { known.adopt(state.value()); });
        }
    }
}

} // namespace

void follow_streams(entry_node& self)
{
    auto const wait = base::from_seconds(self.settings.platform.read_wait_s);
    follow(
        self, self.ownership_stream, s_ownership_wait,
        [&self](stream::reader_page&& page)
        {
            caf::anon_send(self.ownership,
                           ownership_page{std::make_shared<stream::reader_page>(
                               std::move(page))});
        },
        [] {});
    follow(
        self, configuration::s_stream, wait,
        [&self](stream::reader_page&& page)
        {
            take_configuration(self, page);
            if (!self.configuration.state().complete())
            {
                adopt_from_peers(self);
            }
        },
        [&self]
        {
            if (self.configuration.offset() < 0)
            {
                adopt_from_peers(self);
            }
        });
    follow(
        self, calls_stream, wait,
        [&self](stream::reader_page&& page) { self.calls->keys().take(page); },
        [] {});
}

} // namespace berylhill::entry
