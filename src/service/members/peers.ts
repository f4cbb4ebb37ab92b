/** Controllers talk to one another: `Peers` asks, `servePeers` answers. */
export { Peers } from "./peer-client.js";
export { type PeerHandlers, servePeers, type ShardHandlers } from "./peer-server.js";
