// A simulated fleet in virtual time. Each instance is a share_manager with a simulated host; they share a
// store and a network that injects faults. A single event queue orders everything, and all randomness comes
// from one seed, so that a run is reproducible.

#pragma once

#include "allowance/scaling.h"
#include "allowance/share_manager.h"
#include "allowance/tests/admission_log.h"
#include "allowance/tests/event_queue.h"
#include "allowance/tests/fake_store.h"
#include "allowance/tests/simulated_node.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace quetzalspan::allowance::testing
{

class simulated_fleet
{
public:
    using node = simulated_node;
    using partition_check = std::function<bool(const node& left, const node& right)>;

    explicit simulated_fleet(const fleet_settings& settings) : m_settings(settings), m_random(settings.seed)
    {
        for (std::size_t index = 0; index < settings.instances; ++index) {
            add_node();
        }
    }

    fake_store store;
    admission_log log;
    std::map<std::string, arrival_counts> counts;
    std::uint64_t message_count = 0;
    // Returns whether two instances cannot reach each other.
    partition_check is_partitioned = [](const node&, const node&) { return false; };
    // Returns whether an instance cannot reach the store.
    std::function<bool(const node&)> is_partitioned_from_store = [](const node&) { return false; };
    // Called for each ledger write that took effect, before the writer gets the response. If it returns
    // false, the writer is killed.
    std::function<bool(const node&, const store_write&)> survives_write =
        [](const node&, const store_write&) { return true; };

    core::instant now() const { return m_queue.now(); }
    double seconds() const { return core::to_seconds(now().time_since_epoch()); }
    node& node_at(std::size_t index) { return *m_nodes[index]; }

    // Adds an instance that joins immediately, and returns its index. Instances are distributed over six
    // availability zones in turn, two in each region.
    std::size_t add_node()
    {
        auto added = std::make_unique<node>();
        added->index = m_nodes.size();
        added->instance = "instance-" + std::to_string(added->index);
        std::uniform_real_distribution<double> skew(-m_settings.clock_error / 2, m_settings.clock_error / 2);
        added->clock_rate = 1 + skew(m_random);
        m_nodes.push_back(std::move(added));
        node& created = *m_nodes.back();
        created.is_running = true;
        after(0.001 * static_cast<double>(created.index), [this, &created] { join(created); });
        return created.index;
    }

    // Distributes a new set of limits; each instance applies it after a random delay.
    void set_limits(const std::vector<limit_definition>& limits, double max_delay_seconds = 0.5)
    {
        m_limits = {m_limits.revision + 1, limits};
        std::uniform_real_distribution<double> delay(0, max_delay_seconds);
        for (const auto& current_node : m_nodes) {
            node& target = *current_node;
            after(delay(m_random), [this, &target, set = m_limits] {
                run_on_node(target, [this, &target, set] {
                    if (target.manager) {
                        target.manager->apply_limits(set, local_now(target));
                    }
                });
            });
        }
    }

    // Generates Poisson arrivals of requests for one limit at one instance until end_seconds, with the rate
    // in requests per second. A request takes one token of a rate, or holds a permit for hold_seconds.
    void add_poisson_load(std::size_t index, const std::string& limit, double rate, double end_seconds,
                          double hold_seconds = 0)
    {
        std::exponential_distribution<double> gap(rate);
        const double next = gap(m_random);
        if (rate <= 0 || seconds() + next > end_seconds) {
            return;
        }
        after(next, [this, index, limit, rate, end_seconds, hold_seconds] {
            node& target = *m_nodes[index];
            if (target.is_running) {
                run_on_node(target, [this, &target, limit, hold_seconds] {
                    handle_arrival(target, limit, hold_seconds);
                });
            }
            add_poisson_load(index, limit, rate, end_seconds, hold_seconds);
        });
    }

    // Ends an instance without any notice to the others.
    void kill(std::size_t index)
    {
        node& killed = *m_nodes[index];
        killed.is_running = false;
        killed.manager.reset();
        killed.deferred_work.clear();
    }

    // Starts a killed or stopped instance again, under a new incarnation.
    void restart(std::size_t index)
    {
        node& restarted = *m_nodes[index];
        restarted.is_running = true;
        restarted.is_leaving = false;
        join(restarted);
    }

    // Suspends the process of an instance until resume(), while other instances go on.
    void pause(std::size_t index) { m_nodes[index]->is_paused = true; }

    // Ends a pause. The deferred work runs first, in its order, so that waiting requests are decided before
    // the control thread of the instance learns what happened meanwhile.
    void resume(std::size_t index)
    {
        node& resumed = *m_nodes[index];
        resumed.is_paused = false;
        const std::vector<std::function<void()>> deferred = std::exchange(resumed.deferred_work, {});
        for (const auto& work : deferred) {
            work();
        }
    }

    // Starts a planned stop: the instance hands over its shares, deletes its member record and ends.
    void leave(std::size_t index)
    {
        node& leaving = *m_nodes[index];
        leaving.is_leaving = true;
        if (leaving.manager) {
            leaving.manager->begin_leaving();
        }
    }

    void after(double delay_seconds, std::function<void()> work)
    {
        m_queue.after(delay_seconds, std::move(work));
    }
    void run_until(double end_seconds) { m_queue.run_until(end_seconds); }

    // Returns the sum of the rates and bursts that all running instances hold of a limit. Tokens are not
    // included.
    amount total_held(const std::string& limit) const
    {
        amount sum;
        for (const auto& current_node : m_nodes) {
            const share_table::entry* entry =
                current_node->manager ? current_node->manager->shares().find(limit) : nullptr;
            if (entry != nullptr) {
                sum.rate_micro += entry->value->rate_micro();
                sum.burst_micro += entry->value->burst_micro();
            }
        }
        return sum;
    }

    // Returns the time on the clock of an instance.
    core::instant local_now(const node& owner) const
    {
        const auto nanoseconds = static_cast<double>(now().time_since_epoch().count());
        return core::instant(
            core::duration(static_cast<core::duration::rep>(nanoseconds * owner.clock_rate)));
    }

private:
    // Returns true with the given probability.
    bool sample_fault(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    // Runs work in the process of an instance: not at all if the instance is dead, and after the end of the
    // pause if it is paused.
    void run_on_node(node& target, std::function<void()> work)
    {
        if (!target.is_running) {
            return;
        }
        if (target.is_paused) {
            target.deferred_work.push_back(std::move(work));
            return;
        }
        work();
    }

    // Returns the delay of a message in seconds, which depends on the distance of the instances.
    double network_delay(const node& from, const node& to)
    {
        const double jitter = std::uniform_real_distribution<double>(0, m_settings.message_jitter)(m_random);
        if (from.record.availability_zone == to.record.availability_zone) {
            return 0.0003 + jitter;
        }
        return (from.record.region == to.record.region ? 0.001 : 0.012) + jitter;
    }

    node* find_node(const std::string& member)
    {
        for (const auto& current_node : m_nodes) {
            if (current_node->record.id == member) {
                return current_node.get();
            }
        }
        return nullptr;
    }

    // Sends a message to the process that has this member id now. The network may lose, duplicate or delay
    // it.
    void send(node& from, const std::string& to, const std::function<void(node&)>& deliver)
    {
        ++message_count;
        node* target = find_node(to);
        if (target == nullptr || is_partitioned(from, *target) || sample_fault(m_settings.message_loss)) {
            return;
        }
        const int copies = sample_fault(m_settings.message_duplicates) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            after(network_delay(from, *target), [this, target, to, deliver] {
                run_on_node(*target, [target, to, deliver] {
                    if (target->manager && target->record.id == to) {
                        deliver(*target);
                    }
                });
            });
        }
    }

    // Calls the store. The work runs when the request arrives there; then done is called with true for a
    // response, or with false after a timeout of 1 s.
    void call_store(node& from, const std::function<void()>& work, const std::function<void(bool)>& done)
    {
        ++store.call_count;
        const std::string id = from.record.id;
        const auto respond = [this, &from, id, done](double delay, bool has_response) {
            after(delay, [this, &from, id, done, has_response] {
                run_on_node(from, [&from, id, done, has_response] {
                    if (from.record.id == id) {
                        done(has_response);
                    }
                });
            });
        };
        const double request_delay = 0.002 + std::uniform_real_distribution<double>(0, 0.004)(m_random);
        if (!store.is_up || is_partitioned_from_store(from)) {
            respond(1, false);
            return;
        }
        const bool is_lost = sample_fault(m_settings.lost_store_responses);
        // If the response is lost, the write may also take effect after the caller has given up.
        const double effect_delay = is_lost && sample_fault(0.3) ? 1.5 : request_delay;
        after(effect_delay, [this, work] {
            if (store.is_up) {
                work();
            }
        });
        respond(is_lost ? 1 : 2 * request_delay + 0.0001, !is_lost && store.is_up);
    }

    // Creates a member record under a new incarnation and starts the instance once it is stored.
    void join(node& joining)
    {
        if (!joining.is_running) {
            return;
        }
        ++joining.incarnation;
        membership::member record;
        record.instance = joining.instance;
        record.id = joining.instance + "." + std::to_string(joining.incarnation);
        const std::size_t zone = joining.index % 6;
        record.availability_zone = "zone-" + std::to_string(zone);
        record.region = "region-" + std::to_string(zone / 2);
        joining.manager.reset();
        joining.record = record;
        create_record(joining);
    }

    // Creates the member record, or finds it if the response to an earlier attempt was lost. The record names
    // the current revision of the member list and the current round: a record that names no member list could
    // be fenced by nobody.
    void create_record(node& joining)
    {
        const auto created = std::make_shared<std::optional<fake_store::versioned<membership::member>>>();
        const core::instant sent_at = local_now(joining);
        call_store(
            joining,
            [this, created, record = joining.record]() mutable {
                record.joined_round = store.round ? store.round->value.number : 0;
                record.membership_revision_seen = store.revision;
                const std::optional<std::uint64_t> revision = store.put_member(record, 0);
                if (revision) {
                    store.lease_ends[record.id] = now() + std::chrono::seconds(6);
                    m_joined[record.id] = *revision;
                }
                const auto held = store.members.find(record.id);
                if (held != store.members.end()) {
                    *created = held->second;
                }
            },
            [this, &joining, created, sent_at](bool has_response) {
                if (!has_response || !*created) {
                    after(0.5, [this, &joining, id = joining.record.id] {
                        if (joining.is_running && joining.record.id == id && !joining.manager) {
                            create_record(joining);
                        }
                    });
                    return;
                }
                start(joining, **created, sent_at);
            });
    }

    // Starts the share manager and the control loop of an instance whose member record was created.
    void start(node& started, const fake_store::versioned<membership::member>& created, core::instant sent_at)
    {
        started.record = created.value;
        started.record.joined_revision = m_joined[created.value.id];
        started.record_revision = created.revision;
        const core::instant started_at = local_now(started);
        started.manager = std::make_unique<share_manager>(m_settings.manager, started.record, started_at);
        if (m_limits.revision > 0) {
            started.manager->apply_limits(m_limits, started_at);
        }
        started.next_renewal = now();
        started.next_keepalive = now() + std::chrono::seconds(2);
        started.next_heartbeat = now();
        started.manager->authority().record_store_confirmation(sent_at);
        tick(started, started.record.id);
    }

    // Runs one step of the control loop and schedules the next one, for as long as the incarnation lasts.
    void tick(node& ticking, const std::string& id)
    {
        run_on_node(ticking, [this, &ticking, id] {
            if (ticking.record.id != id || !ticking.manager) {
                return;
            }
            step(ticking);
            if (ticking.record.id == id && ticking.manager) {
                after(0.010, [this, &ticking, id] { tick(ticking, id); });
            }
        });
    }

    void step(node& ticking)
    {
        for (const action& issued : ticking.manager->tick(local_now(ticking))) {
            execute_action(ticking, issued);
            if (!ticking.manager) {
                return;
            }
        }
        if (ticking.is_leaving && ticking.manager->is_drained()) {
            finish_leaving(ticking);
            return;
        }
        if (now() >= ticking.next_renewal) {
            ticking.next_renewal = now() + std::chrono::seconds(1);
            renew(ticking);
        }
        if (now() >= ticking.next_keepalive) {
            ticking.next_keepalive = now() + std::chrono::seconds(2);
            const std::string id = ticking.record.id;
            call_store(
                ticking, [this, id] { store.lease_ends[id] = now() + std::chrono::seconds(6); }, [](bool) {});
        }
        if (now() >= ticking.next_heartbeat) {
            ticking.next_heartbeat = now() + std::chrono::milliseconds(500);
            send_heartbeats(ticking);
        }
    }

    void finish_leaving(node& leaving)
    {
        const std::string id = leaving.record.id;
        const std::uint64_t revision = leaving.record_revision;
        call_store(
            leaving, [this, id, revision] { store.remove(store.members, id, revision); }, [](bool) {});
        leaving.manager.reset();
        leaving.is_running = false;
    }

    // Renews the member record in the store, which confirms the authority of the instance.
    void renew(node& renewing)
    {
        membership::member record = renewing.record;
        record.joined_revision = 0;
        record.membership_revision_seen = renewing.manager->member_tracker().revision();
        record.state =
            renewing.is_leaving ? membership::member_state::leaving : membership::member_state::serving;
        const auto revision = std::make_shared<std::optional<std::uint64_t>>();
        const auto current = std::make_shared<std::optional<fake_store::versioned<membership::member>>>();
        const core::instant sent_at = local_now(renewing);
        const std::uint64_t expected = renewing.record_revision;
        call_store(
            renewing,
            [this, revision, current, record, expected] {
                *revision = store.put_member(record, expected);
                const auto held = store.members.find(record.id);
                if (held != store.members.end()) {
                    *current = held->second;
                }
            },
            [&renewing, revision, current, sent_at](bool has_response) {
                if (!has_response || !renewing.manager) {
                    return;
                }
                if (*revision) {
                    renewing.record_revision = std::max(renewing.record_revision, **revision);
                    renewing.manager->authority().record_store_confirmation(sent_at);
                } else if (!*current || (*current)->value.state == membership::member_state::suspect) {
                    renewing.manager->on_member_record_missing();
                } else {
                    // An earlier renewal took effect although its response was lost.
                    renewing.record_revision = (*current)->revision;
                }
            });
    }

    // Sends a heartbeat to each other member. The response carries the peer's own state and whether it
    // vouches for the sender.
    void send_heartbeats(node& sender)
    {
        const std::string id = sender.record.id;
        const std::uint64_t round = sender.manager->round();
        const std::vector<demand_summary> summaries = sender.manager->demand_summaries();
        const core::instant sent_at = local_now(sender);
        for (const auto& [other, entry] : sender.manager->member_tracker().entries()) {
            if (other == id) {
                continue;
            }
            node* target = find_node(other);
            // Another incarnation may run at the same address; it refuses connections for this member id.
            if (target == nullptr || !target->is_running) {
                const auto owner =
                    std::find_if(m_nodes.begin(), m_nodes.end(), [&entry = entry](const auto& current_node) {
                        return current_node->instance == entry.record.instance;
                    });
                if (owner != m_nodes.end() && !is_partitioned(sender, **owner)) {
                    sender.manager->authority().record_connection_refused(other, sent_at);
                }
                continue;
            }
            send(sender, other, [this, &sender, id, round, summaries, sent_at](node& receiver) {
                receiver.manager->on_heartbeat(id, round, summaries, true, local_now(receiver));
                const bool vouches = receiver.manager->authority().may_vouch(id);
                const std::string from = receiver.record.id;
                send(receiver, id,
                     [this, from, vouches, sent_at, peer_round = receiver.manager->round(),
                      peer_summaries = receiver.manager->demand_summaries()](node& origin) {
                         origin.manager->on_heartbeat(from, peer_round, peer_summaries, true,
                                                      local_now(origin));
                         if (vouches) {
                             origin.manager->authority().record_vouch(from, sent_at);
                         }
                     });
            });
        }
    }

    // Executes an action of the share manager as its host would.
    void execute_action(node& owner, const action& issued)
    {
        const std::string id = owner.record.id;
        if (const auto* request = std::get_if<send_request>(&issued)) {
            send(owner, request->to, [this, id, message = request->request](node& receiver) {
                const share_grant grant =
                    receiver.manager->on_share_request(id, message, local_now(receiver));
                const std::string from = receiver.record.id;
                send(receiver, id, [this, from, grant](node& origin) {
                    const grant_acknowledgement sent =
                        origin.manager->on_share_grant(from, grant, local_now(origin));
                    const std::string own = origin.record.id;
                    send(origin, from, [this, own, sent](node& granter) {
                        granter.manager->on_acknowledgement(own, sent, local_now(granter));
                    });
                });
            });
        } else if (const auto* offer = std::get_if<send_offer>(&issued)) {
            send(owner, offer->to, [this, id, message = offer->offer](node& receiver) {
                const std::optional<grant_acknowledgement> answer =
                    receiver.manager->on_offer(id, message, local_now(receiver));
                if (answer) {
                    const std::string from = receiver.record.id;
                    send(receiver, id, [this, from, answer](node& origin) {
                        origin.manager->on_acknowledgement(from, *answer, local_now(origin));
                    });
                }
            });
        } else if (const auto* write = std::get_if<store_write>(&issued)) {
            write_store(owner, *write);
        } else if (std::holds_alternative<drop_notification>(issued)) {
            owner.drops.push_back(std::get<drop_notification>(issued).reason);
            after(0.2, [this, &owner, id] {
                if (owner.record.id == id) {
                    run_on_node(owner, [this, &owner] { join(owner); });
                }
            });
        } else {
            read_store(owner, issued);
        }
    }

    void write_store(node& owner, const store_write& write)
    {
        const auto revision = std::make_shared<std::optional<std::uint64_t>>();
        call_store(
            owner,
            [this, &owner, revision, write] {
                *revision = store.apply(write);
                if (*revision && !survives_write(owner, write)) {
                    kill(owner.index);
                }
            },
            [this, &owner, revision, operation = write.operation](bool has_response) {
                if (!owner.manager) {
                    return;
                }
                const write_status status = !has_response ? write_status::unknown
                                            : *revision   ? write_status::applied
                                                          : write_status::conflict;
                owner.manager->on_write_result({operation, status, has_response ? revision->value_or(0) : 0},
                                               local_now(owner));
            });
    }

    void read_store(node& owner, const action& wanted)
    {
        const auto read = std::make_shared<std::function<void(share_manager&, core::instant)>>();
        call_store(
            owner,
            [this, read, wanted] {
                if (std::holds_alternative<read_round>(wanted)) {
                    *read = [observed = store.read_round()](share_manager& manager, core::instant now) {
                        manager.on_round(observed, now);
                    };
                } else if (std::holds_alternative<read_reports>(wanted)) {
                    *read = [observed = store.read_reports()](share_manager& manager, core::instant) {
                        manager.on_reports(observed);
                    };
                } else {
                    membership::member_list list = store.list_members(now());
                    for (membership::stored_member& entry : list.entries) {
                        entry.record.joined_revision = m_joined[entry.record.id];
                    }
                    *read = [list](share_manager& manager, core::instant now) {
                        manager.on_members(list, now);
                    };
                }
            },
            [this, &owner, read](bool has_response) {
                if (has_response && owner.manager && *read) {
                    (*read)(*owner.manager, local_now(owner));
                }
            });
    }

    // Handles the arrival of a request: counts it and tries to admit it.
    void handle_arrival(node& target, const std::string& limit, double hold_seconds)
    {
        arrival_counts& counted = counts[limit];
        ++counted.offered;
        const share_table::entry* entry = target.manager ? target.manager->shares().find(limit) : nullptr;
        if (entry == nullptr) {
            ++counted.rejected;
            return;
        }
        entry->value->record_offered_load(micro_per_token);
        attempt_admission(target, limit, entry->value, target.manager->shared_authority(), hold_seconds,
                          now(), false);
    }

    // Tries to admit a request, and tries again every 8 ms for up to 50 ms if there is no token. A request
    // keeps the share and the authority that it found on arrival, even if their incarnation has been dropped
    // since.
    void attempt_admission(node& target, const std::string& limit, const std::shared_ptr<share>& held,
                           const std::shared_ptr<const membership::authority>& authority, double hold_seconds,
                           core::instant waiting_since, bool has_waited)
    {
        arrival_counts& counted = counts[limit];
        if (held->try_acquire(micro_per_token)) {
            if (!authority->has_authority(local_now(target))) {
                held->release(micro_per_token);
                ++counted.rejected;
                return;
            }
            ++counted.admitted;
            counted.admitted_after_wait += has_waited ? 1 : 0;
            if (held->kind() == limit_kind::rate) {
                log.record_admission(limit, now());
                return;
            }
            log.record_use(limit, now(),
                           now() + core::duration(static_cast<core::duration::rep>(hold_seconds * 1e9)));
            after(hold_seconds,
                  [this, &target, held] { run_on_node(target, [held] { held->release(micro_per_token); }); });
            return;
        }
        if (now() - waiting_since >= std::chrono::milliseconds(50) || !target.manager) {
            ++counted.rejected;
            return;
        }
        for (const action& issued :
             target.manager->request_urgently(limit, micro_per_token, local_now(target))) {
            execute_action(target, issued);
        }
        after(0.008, [this, &target, limit, held, authority, hold_seconds, waiting_since] {
            run_on_node(target, [this, &target, limit, held, authority, hold_seconds, waiting_since] {
                attempt_admission(target, limit, held, authority, hold_seconds, waiting_since, true);
            });
        });
    }

    fleet_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_queue;
    std::vector<std::unique_ptr<node>> m_nodes;
    limit_set m_limits;
    // Metadata of the store: the revision at which each member record was created, by member id.
    std::map<std::string, std::uint64_t> m_joined;
};

} // namespace quetzalspan::allowance::testing
