/** Communication between controllers: `Peers` is the client, `servePeers` the server. */
export { Peers } from "./peer-client.js";
export { type PeerHandlers, servePeers, type ShardHandlers } from "./peer-server.js";
