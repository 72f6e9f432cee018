// The control loop of an instance: membership, configuration, heartbeats, shares of the fleet-wide limits,
// and publication of the state that requests read. All of it runs on one strand; the packages that make the
// decisions do no I/O of their own.

#pragma once

#include "allowance/share_manager.h"
#include "burn/burn_monitor.h"
#include "node/active_configuration.h"
#include "node/endpoint_allocator.h"
#include "node/node_options.h"
#include "node/peer_calls.h"
#include "node/request_policy.h"
#include "node/store_executor.h"
#include "node/token_wait_queues.h"
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

// Objects that the control loop uses; they must outlive it.
struct control_loop_dependencies {
    std::shared_ptr<store::store_client> store;
    state_cell& state;
    directory_cell& directory;
    token_wait_queues& tokens;
    endpoint_allocator& endpoints;
    burn::burn_monitor& burn;
    burn::metrics_registry& metrics;
    // Returns uniformly distributed 64-bit numbers. Called from several threads.
    std::function<std::uint64_t()> random;
    // Called after a published_state was published.
    std::function<void(const std::shared_ptr<const published_state>&)> on_published;
    // Called with the new member id each time that the instance is about to join.
    std::function<void(const std::string&)> on_member_id;
};

// The state of the control loop as the admin interface shows it; copied on the strand.
struct control_status {
    std::string member;
    membership::member_state state = membership::member_state::serving;
    std::uint64_t revision = 0;
    std::string nonce;
    // Configurations refused since the start: older than the one in force, conflicting with it, or invalid.
    std::uint64_t older_offers = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t invalid_offers = 0;
    // The ledger round in which this instance takes part; 0 before it has joined.
    std::uint64_t round = 0;
    bool has_joined = false;
    bool has_authority = false;
    // Whether the latest ledger round is closed, so that all shares are complete.
    bool is_settled = false;
    std::size_t members = 0;
    std::vector<allowance::demand_summary> shares;
};

class control_loop : public std::enable_shared_from_this<control_loop>
{
public:
    // The executor must be a strand. All handlers and coroutines of the loop run on it.
    static std::shared_ptr<control_loop> create(boost::asio::any_io_executor strand, node_options options,
                                                control_loop_dependencies dependencies, peer_calls peers);

    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    void start();

    // Schedules an attempt to serve waiting requests. Calls made before it runs share one attempt. Any thread
    // may call it.
    void schedule_serving();

    // Handlers of messages from peers; called on the strand. Before this instance has joined, a request for a
    // share is answered with not_authorized, and an acknowledgement is ignored.
    peer_rpc::heartbeat_reply on_heartbeat(const peer_rpc::heartbeat& message);
    peer_rpc::configuration_reply on_get_configuration(const peer_rpc::configuration_request& message);
    allowance::share_grant on_request_share(const std::string& from, const allowance::share_request& message);
    void on_acknowledge_grant(const std::string& from, const allowance::grant_acknowledgement& message);
    // Handles shares that a leaving peer hands over. Returns whether they were added to the shares of this
    // instance. Throws std::runtime_error if this instance has not joined or does not know the sender as a
    // member yet; the sender must try again later.
    bool on_hand_over(const std::string& from, const allowance::share_offer& message);

    // Offers a configuration in JSON form that a peer sent before this instance joined. Runs on the strand.
    void handle_configuration_offer(const std::string& document, const std::string& source);

    // The two steps of a planned stop. The first takes this instance out of lookups and marks it as leaving.
    void begin_leaving();
    // Hands the shares over to peers, for at most the timeout, and then removes the member record.
    boost::asio::awaitable<void> leave(core::duration timeout);

    // Called on the strand.
    control_status status() const;

    // Any thread may call these. The last tick is the time of the latest run of the periodic work.
    std::uint64_t revision() const { return m_revision.load(); }
    bool is_ready() const { return m_is_ready.load(); }
    core::instant last_tick() const { return core::instant(core::duration(m_last_tick.load())); }

private:
    control_loop(boost::asio::any_io_executor strand, node_options options,
                 control_loop_dependencies dependencies, peer_calls peers);

    boost::asio::awaitable<void> run_ticks();
    boost::asio::awaitable<void> run_heartbeats();
    boost::asio::awaitable<void> run_collection();
    boost::asio::awaitable<void> join();
    // Reads the membership revision and the ledger round that the member record must contain at its creation.
    // Without the revision of the member list that it has seen, no peer may fence the member before the
    // autonomy limit. Repeats the reads until they succeed.
    boost::asio::awaitable<void> read_before_joining(membership::member& record);

    void start_configuration_source();
    void on_joined(membership::member record, std::uint64_t revision);
    void on_fenced(store::fence_reason reason);
    void rejoin();
    void apply_configuration();
    void publish();
    void publish_directory();
    // Takes a peer out of lookups as soon as its heartbeat says that it is leaving.
    void record_peer_state(const membership::member& peer);

    void tick();
    void serve_waiting_requests();
    void update_readiness(core::instant now);
    void execute_actions(std::vector<allowance::action> actions);
    void execute_action(allowance::action action);
    boost::asio::awaitable<void> send_heartbeat(std::string member);
    boost::asio::awaitable<void> fetch_configuration(std::string member);
    boost::asio::awaitable<void> send_request(allowance::send_request message);
    boost::asio::awaitable<void> send_offer(allowance::send_offer message);
    boost::asio::awaitable<void> execute_write(allowance::store_write change);
    boost::asio::awaitable<void> execute_read_round();
    boost::asio::awaitable<void> execute_read_reports();
    boost::asio::awaitable<void> execute_read_members();
    // Returns a heartbeat of this instance without demand summaries.
    peer_rpc::heartbeat create_heartbeat(core::instant now) const;
    // Builds the heartbeat that is sent to all peers next. It has the demand summaries that have changed
    // since peers were last told, or all of them in every tenth heartbeat.
    void prepare_heartbeat(core::instant now);
    void spawn(std::function<boost::asio::awaitable<void>()> work, const char* step);

    boost::asio::any_io_executor m_strand;
    node_options m_options;
    control_loop_dependencies m_dependencies;
    peer_calls m_peers;
    active_configuration m_configuration;
    store_executor m_store_executor;
    std::shared_ptr<store::configuration_source> m_configuration_source;

    // The member record of the present incarnation, and the objects that belong to it. m_registration is null
    // before the first registration, m_manager before the incarnation has joined.
    membership::member m_self;
    std::shared_ptr<store::member_registration> m_registration;
    std::unique_ptr<allowance::share_manager> m_manager;
    // Number of incarnations so far. A result that arrives for an earlier incarnation is discarded.
    std::uint64_t m_generation = 0;

    bool m_is_leaving = false;
    // Peers whose heartbeats say that they are leaving. The member list read from the store says so later.
    std::set<std::string> m_leaving_peers;
    bool m_is_serving_scheduled = false;
    peer_rpc::heartbeat m_heartbeat;
    // The demand summaries that peers have if no heartbeat was lost, by limit.
    std::map<std::string, allowance::demand_summary> m_announced_summaries;
    std::uint32_t m_heartbeats_until_complete = 0;
    // Peers whose response to a heartbeat is outstanding. A slow peer gets no further heartbeat until it has
    // responded.
    std::set<std::string> m_heartbeats_in_flight;
    bool m_is_fetching_configuration = false;

    std::atomic<std::uint64_t> m_revision{0};
    std::atomic<bool> m_is_ready{false};
    std::atomic<core::duration::rep> m_last_tick{0};
};

} // namespace quetzalspan::node
