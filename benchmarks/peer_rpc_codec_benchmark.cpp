// Measures encoding, decoding and authentication of heartbeats between instances: the time of each, and the
// size of the encoded message in bytes. The argument of each benchmark is the number of limits whose demand
// the heartbeat reports.

#include "codec/json_reader.h"
#include "peer_rpc/message_authenticator.h"
#include "peer_rpc/message_codec.h"
#include "peer_rpc/rpc/call_encoder.h"
#include "peer_rpc/rpc/dispatcher.h"

#include <benchmark/benchmark.h>

using namespace quetzalspan;

namespace
{

peer_rpc::heartbeat make_heartbeat(std::int64_t limit_count)
{
    peer_rpc::heartbeat message;
    message.sender.id = "entry-1.1764835200123";
    message.sender.instance = "entry-1";
    message.sender.availability_zone = "perth-1";
    message.sender.region = "perth";
    message.sender.host = "10.0.0.1";
    message.sender.caller_port = 8080;
    message.sender.peer_port = 8081;
    message.sender.admin_port = 8082;
    message.sender.membership_revision_seen = 123'456;
    message.sender.joined_revision = 123'400;
    message.sender.joined_round = 12;
    message.configuration_revision = 42;
    message.round = 12;
    message.is_confirmed_by_store = true;
    for (std::int64_t index = 0; index < limit_count; ++index) {
        message.demands.push_back({"workspace/milliner-" + std::to_string(index),
                                   12'500'000,
                                   {25'000'000, 50'000'000, 48'123'456}});
    }
    return message;
}

void encode_heartbeat(benchmark::State& state)
{
    const peer_rpc::heartbeat message = make_heartbeat(state.range(0));
    std::size_t bytes = 0;
    for (auto iteration : state) {
        const std::string encoded_call = peer_rpc::encode_call("heartbeat", peer_rpc::to_json(message));
        bytes = encoded_call.size();
        benchmark::DoNotOptimize(bytes);
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

void dispatch_heartbeat(benchmark::State& state)
{
    const std::string encoded_call =
        peer_rpc::encode_call("heartbeat", peer_rpc::to_json(make_heartbeat(state.range(0))));
    peer_rpc::dispatcher dispatcher;
    dispatcher.add_method("heartbeat", [](const Json::Value& parameters, const std::string&) {
        const peer_rpc::heartbeat message = peer_rpc::from_json<peer_rpc::heartbeat>(parameters);
        return peer_rpc::to_json(peer_rpc::configuration_request{message.round});
    });
    for (auto iteration : state) {
        const std::string response = dispatcher.dispatch(encoded_call, "a.1", [](const std::string&) {});
        benchmark::DoNotOptimize(response.size());
    }
}

void authenticate_heartbeat(benchmark::State& state)
{
    const std::string encoded_call =
        peer_rpc::encode_call("heartbeat", peer_rpc::to_json(make_heartbeat(state.range(0))));
    const peer_rpc::message_authenticator authenticator("a secret of sufficient length");
    for (auto iteration : state) {
        const std::string header =
            authenticator.sign_request(core::wall_time(), "0123456789abcdef", "a.1", "b.2", encoded_call);
        benchmark::DoNotOptimize(header.size());
    }
}

BENCHMARK(encode_heartbeat)->Arg(8)->Arg(100);
BENCHMARK(dispatch_heartbeat)->Arg(8)->Arg(100);
BENCHMARK(authenticate_heartbeat)->Arg(8)->Arg(100);

} // namespace

BENCHMARK_MAIN();
