// The control work of an instance: membership, configuration, heartbeats, allowances and publication of the
// state that requests read. Everything here runs on one strand; the packages that decide do no I/O of their
// own.

#pragma once

#include "allowance/share_manager.h"
#include "burn/burn_monitor.h"
#include "node/configuration_keeper.h"
#include "node/endpoint_broker.h"
#include "node/node_options.h"
#include "node/peer_channel.h"
#include "node/request_policy.h"
#include "node/store_executor.h"
#include "node/token_waiters.h"
#include "store/configuration_source.h"
#include "store/member_registration.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace quetzalspan::node
{

// Parts that the loop uses and that outlive it.
struct control_parts {
    std::shared_ptr<store::store_client> store;
    state_cell& state;
    directory_cell& directory;
    token_waiters& tokens;
    endpoint_broker& endpoints;
    burn::burn_monitor& burn;
    burn::metrics_registry& metrics;
    // Uniform 64 bits, from several threads.
    std::function<std::uint64_t()> random;
    // Called after a snapshot was published.
    std::function<void(const std::shared_ptr<const published_state>&)> on_published;
    // Called with the member id of each incarnation before it joins.
    std::function<void(const std::string&)> on_member_id;
};

// What the admin interface shows of the loop; copied on the strand.
struct control_status {
    std::string member;
    membership::member_state state = membership::member_state::serving;
    std::uint64_t revision = 0;
    std::string nonce;
    std::uint64_t older_offers = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t invalid_offers = 0;
    std::uint64_t round = 0;
    bool has_joined = false;
    bool has_authority = false;
    bool is_settled = false;
    std::size_t members = 0;
    std::vector<allowance::demand_summary> shares;
};

class control_loop : public std::enable_shared_from_this<control_loop>
{
public:
    // The executor must be a strand.
    static std::shared_ptr<control_loop> create(boost::asio::any_io_executor strand, node_options options,
                                                control_parts parts, peer_channel peers);

    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    void start();

    // Serves waiting requests soon. Any thread may call it.
    void wake();

    // Handlers of messages from peers; called on the strand.
    fellow::heartbeat_reply on_heartbeat(const fellow::heartbeat& message);
    fellow::configuration_reply on_get_configuration(const fellow::configuration_request& message);
    allowance::share_grant on_request_share(const std::string& from, const allowance::share_request& message);
    void on_acknowledge_grant(const std::string& from, const allowance::grant_acknowledgement& message);
    // Returns whether the shares were taken. Throws std::runtime_error if the sender is not a known member
    // yet.
    bool on_hand_over(const std::string& from, const allowance::share_offer& message);

    // Offers a configuration that a peer sent before this instance joined. Runs on the strand.
    void offer_configuration(const std::string& document, const std::string& source);

    // The steps of a planned stop.
    void begin_leaving();
    // Hands the shares over and removes the member record; gives up after the limit.
    boost::asio::awaitable<void> leave(core::duration limit);

    // Runs on the strand.
    control_status status() const;

    // Any thread.
    std::uint64_t revision() const { return m_revision.load(); }
    bool is_ready() const { return m_is_ready.load(); }
    core::instant last_tick() const { return core::instant(core::duration(m_last_tick.load())); }

private:
    control_loop(boost::asio::any_io_executor strand, node_options options, control_parts parts,
                 peer_channel peers);

    boost::asio::awaitable<void> run_ticks();
    boost::asio::awaitable<void> run_heartbeats();
    boost::asio::awaitable<void> run_collection();
    boost::asio::awaitable<void> join();
    // Reads what the member record must name at its creation: without the list of members that it has seen,
    // no peer may fence the member before the autonomy limit.
    boost::asio::awaitable<void> read_before_joining(membership::member& record);

    void start_configuration_source();
    void on_joined(membership::member record, std::uint64_t revision);
    void on_fenced(store::fence_reason reason);
    void rejoin();
    void apply_configuration();
    void publish();
    void publish_directory();
    // Takes a peer that is leaving out of lookups as soon as it says so.
    void note_state(const membership::member& peer);

    void tick();
    void serve_waiting();
    void update_readiness(core::instant now);
    void perform(std::vector<allowance::action> actions);
    void perform_one(allowance::action action);
    boost::asio::awaitable<void> send_heartbeat(std::string member);
    boost::asio::awaitable<void> fetch_configuration(std::string member);
    boost::asio::awaitable<void> send_request(allowance::send_request message);
    boost::asio::awaitable<void> send_offer(allowance::send_offer message);
    boost::asio::awaitable<void> execute_write(allowance::store_write change);
    boost::asio::awaitable<void> execute_read_round();
    boost::asio::awaitable<void> execute_read_reports();
    boost::asio::awaitable<void> execute_read_members();
    // Without demands.
    fellow::heartbeat own_heartbeat(core::instant now) const;
    // Prepares the heartbeat that all peers get in this round.
    void prepare_round(core::instant now);
    void spawn(std::function<boost::asio::awaitable<void>()> work, const char* event);

    boost::asio::any_io_executor m_strand;
    node_options m_options;
    control_parts m_parts;
    peer_channel m_peers;
    configuration_keeper m_configuration;
    store_executor m_executor;
    std::shared_ptr<store::configuration_source> m_source;

    // The record of this incarnation, and its parts; null until it has joined.
    membership::member m_self;
    std::shared_ptr<store::member_registration> m_registration;
    std::unique_ptr<allowance::share_manager> m_manager;
    // Counts incarnations, so that a late result of an earlier one is not given to the present one.
    std::uint64_t m_generation = 0;

    bool m_is_leaving = false;
    // Peers whose heartbeats say that they are leaving; the store's list says so later.
    std::set<std::string> m_leaving_peers;
    bool m_is_wake_pending = false;
    fellow::heartbeat m_heartbeat;
    // The summaries that peers know if no heartbeat was lost.
    std::map<std::string, allowance::demand_summary> m_announced;
    std::uint32_t m_heartbeats_until_complete = 0;
    // Peers a heartbeat is under way to; a slow peer gets the next one after its response.
    std::set<std::string> m_heartbeats_under_way;
    bool m_is_fetching = false;

    std::atomic<std::uint64_t> m_revision{0};
    std::atomic<bool> m_is_ready{false};
    std::atomic<core::duration::rep> m_last_tick{0};
};

} // namespace quetzalspan::node
