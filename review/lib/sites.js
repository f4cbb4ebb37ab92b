/** Settings of the two small deployments of the brief. */

const team = (name, cpus, most) => ({ name, cpus, cpus_max: most, gpus: 0, gpus_max: 0 });
const machineType = (label, vcpus, mem, rate, cheap, boot, districts) => ({
  ...{ label, vcpus, gpus: 0, mem_gb: mem, cache_gb: 100, pull_gb_per_s: 1 },
  ...{ rate, spot_price: cheap, startup_s: boot, districts },
});

/** Recolecta's acceptance checklist: three controllers, 200 requests and 60 changes a second. */
export const cordoba = () => {
  const zones = ["cordoba-norte", "rosario-sur"];
  return {
    zones,
    controllers: 3,
    maxMachines: 40,
    types: [
      machineType("chico-ocho", 8, 32, 0.42, 0.14, 20, zones),
      machineType("grande-sesenta", 64, 256, 2.98, 1.06, 40, zones),
    ],
    params: {
      initial_size: 3,
      zones,
      teams: [team("red", 40, 128), team("blue", 40, 128)],
      objectives: [],
      workers: { report_s: 3, lease_s: 34, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 59 },
      state: { rps: 200, write_rps: 60, value_kb: 16, txn_ops: 16 },
      cloud: { rps: 4, list_lag_s: 8 },
      machine_limits: { core_share: 0.34, ram_mb: 306, max_connections: 2500 },
      clock_off_ms: 1000,
    },
  };
};

/** The calendar authority's letter: three controllers, 100 requests and 25 changes a second. */
export const amman = () => {
  const zones = ["aqaba-reserve", "amman-east", "zarqa-hall"];
  return {
    zones,
    controllers: 3,
    maxMachines: 32,
    types: [
      machineType("small-eight", 8, 16, 0.26, 0.07, 40, zones),
      machineType("mid-sixteen", 16, 32, 0.58, 0.18, 25, zones),
      machineType("large-thirtytwo", 32, 64, 1.14, 0.33, 35, zones),
    ],
    params: {
      initial_size: 3,
      zones,
      teams: [team("red", 0, 0), team("blue", 0, 0)],
      objectives: [],
      workers: { report_s: 3, lease_s: 28, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 53 },
      state: { rps: 100, write_rps: 25, value_kb: 16, txn_ops: 20 },
      cloud: { rps: 3, list_lag_s: 4 },
      machine_limits: { core_share: 0.255, ram_mb: 146, max_connections: 1200 },
      clock_off_ms: 1000,
    },
  };
};

/** The further deployment at the Paraná coast, with few machines: three controllers, 100 requests a second. */
export const litoral = () => {
  const zones = ["santa-fe-centro", "parana-este", "rafaela-oeste"];
  return {
    zones,
    controllers: 3,
    maxMachines: 10,
    types: [machineType("liviana-cuatro", 4, 16, 0.21, 0.08, 50, zones)],
    params: {
      initial_size: 3,
      zones,
      teams: [
        { name: "red", cpus: 0, cpus_max: 0, gpus: 60, gpus_max: 200 },
        { name: "blue", cpus: 0, cpus_max: 0, gpus: 35, gpus_max: 120 },
      ],
      objectives: [],
      workers: { report_s: 2, lease_s: 12, gang_wait_s: 45, gang_peer_s: 4, cancel_s: 37 },
      state: { rps: 100, write_rps: 20, value_kb: 16, txn_ops: 12 },
      cloud: { rps: 6, list_lag_s: 5 },
      machine_limits: { core_share: 0.136, ram_mb: 178, max_connections: 1200 },
      clock_off_ms: 1000,
    },
  };
};
