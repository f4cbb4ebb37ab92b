/** For tests of controller processes: fakes of the outside systems, the controller's settings and requests to it. */
import { freePort } from "./controller-process.js";
import { FakeCloud } from "./fakes/fake-cloud.js";
import { FakeStateService } from "./fakes/fake-state-service.js";

/** The status and the JSON body of an HTTP response. */
export interface Answer {
  readonly status: number;
  readonly json: Record<string, unknown>;
}

/** The platform's settings for one controller and a team of four processors, with workers that report often. */
export const SMALL_SITE = {
  initial_size: 1,
  teams: [{ name: "red", cpus: 4, cpus_max: 8, gpus: 0, gpus_max: 0 }],
  objectives: [],
  workers: { report_s: 0.2, lease_s: 10, cancel_s: 30 },
  machine_limits: { core_share: 1, ram_mb: 200, max_connections: 1000 },
};

/** Sends a request to a controller; a string is sent as it is, any other body as JSON. */
export const request = async (
  address: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<Answer> => {
  const response = await fetch(`http://${address}${path}`, {
    method,
    ...(body === undefined ? {} : { body: typeof body === "string" ? body : JSON.stringify(body) }),
  });
  return { status: response.status, json: (await response.json()) as Record<string, unknown> };
};

/** Fakes of the outside systems of one controller, and the addresses that it listens on. */
export class ServiceFixture<State extends FakeStateService = FakeStateService> {
  /** The address where the controller serves users and workers. */
  frontAddress = "";
  /** The address where it serves other controllers. */
  peerAddress = "";
  readonly cloud = new FakeCloud(() => this.frontAddress);

  constructor(readonly state: State) {}

  async start(): Promise<void> {
    await this.state.start();
    await this.cloud.start();
    this.frontAddress = `127.0.0.1:${await freePort()}`;
    this.peerAddress = `127.0.0.1:${await freePort()}`;
  }

  stop(): void {
    this.cloud.stop();
    this.state.stop();
  }

  /** The platform's settings for the controller; `params` override or extend the default zones and rate limits. */
  settings(member: string, params: object, seeds: readonly object[] = []): object {
    return {
      member,
      domain: "east",
      front: this.frontAddress,
      peer_bind: this.peerAddress,
      seeds,
      external: { cloud: this.cloud.addr, state: this.state.addr },
      params: {
        zones: ["east"],
        state: { rps: 1000, write_rps: 1000, value_kb: 16, txn_ops: 16 },
        cloud: { rps: 50, list_lag_s: 1 },
        ...params,
      },
    };
  }

  /** Sends a request to the controller. */
  request(method: string, path: string, body?: unknown): Promise<Answer> {
    return request(this.frontAddress, method, path, body);
  }
}
