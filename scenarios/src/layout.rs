//! Composition and size of a site.

/// The names and numbers that define a site.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Names of the data centres.
    pub dcs: Vec<String>,
    /// Number of entry hosts, distributed over the data centres in turn.
    pub entries: usize,
    /// Names of the services; each has a pool of the same name.
    pub services: Vec<String>,
    /// Number of hosts in each service's pool, distributed over the data centres in turn.
    pub hosts: usize,
    /// Number of hosts in the spare pool, which serves no service.
    pub spares: usize,
    /// Rows of the operators' table of teams: team, weight, limit, urgent.
    pub teams: Vec<(String, u32, u32, bool)>,
    /// Mean run time of tasks on a backend server, in milliseconds; 0 completes them at once.
    pub run_ms: u64,
    /// What the machine of each of the system's processes gives to it; `None` if it isn't limited.
    pub machine: Option<Machine>,
}

/// What a machine gives to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Memory, in MB.
    pub memory: u64,
    /// Number of descriptors.
    pub descriptors: usize,
}

/// Number of hosts per rack.
const RACK_HOSTS: usize = 4;
/// Number of slots of a backend server.
const SLOTS: u32 = 8;
/// Number of hosts of a pool that may be out of service at the same time.
const BUDGET: u32 = 4;

impl Layout {
    /// A site of the size that one of today's users runs (`site today` in scenarios).
    #[must_use]
    pub fn today() -> Self {
        let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        Self {
            dcs: names(&["cardiff", "swansea", "bangor"]),
            entries: 9,
            services: names(&["captions", "plaques", "proofs", "quotes", "stock"]),
            hosts: 10,
            spares: 8,
            teams: vec![
                ("museum".to_owned(), 4, 200, true),
                ("gallery".to_owned(), 4, 200, true),
                ("storefront".to_owned(), 2, 120, true),
                ("purchasing".to_owned(), 2, 120, false),
                ("scanners".to_owned(), 1, 80, false),
                ("heritage".to_owned(), 1, 80, false),
            ],
            run_ms: 5,
            machine: None,
        }
    }

    /// A site that starts fast: three entry hosts, one service of six hosts, two spare hosts
    /// (`site small` in scenarios).
    #[must_use]
    pub fn small() -> Self {
        let mut layout = Self::today();
        layout.entries = 3;
        layout.services.truncate(1);
        layout.hosts = 6;
        layout.spares = 2;
        layout
    }

    /// Total number of hosts in all pools.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.services.len() * self.hosts + self.spares
    }

    /// Data centre of the host or entry host `index`.
    #[must_use]
    pub fn dc(&self, index: usize) -> &str {
        &self.dcs[index % self.dcs.len()]
    }

    /// Rack of host `index`.
    #[must_use]
    pub fn rack(&self, index: usize) -> String {
        let number = index / self.dcs.len() / RACK_HOSTS;
        format!("{}-{number}", self.dc(index))
    }

    /// The operators' table of teams, as CSV.
    #[must_use]
    pub fn table(&self) -> String {
        let rows = self.teams.iter().map(|(team, weight, limit, urgent)| {
            let urgent = if *urgent { "yes" } else { "no" };
            format!("{team},{weight},{limit},{urgent}\n")
        });
        "team,weight,limit,urgent\n".to_owned() + &rows.collect::<String>()
    }

    /// The operators' file of pools, as CSV.
    #[must_use]
    pub fn pools(&self) -> String {
        let rows = self
            .services
            .iter()
            .map(|service| format!("{service},{service},no,,{BUDGET}\n"));
        let spare = format!("spare,,no,,{}\n", self.spares);
        "pool,service,open,teams,budget\n".to_owned() + &rows.collect::<String>() + &spare
    }

    /// The operators' file of hosts, as CSV; `addrs` are their addresses in order.
    #[must_use]
    pub fn hosts(&self, addrs: &[std::net::SocketAddr]) -> String {
        let rows = addrs.iter().enumerate().map(|(index, addr)| {
            let pool = self.services.get(index / self.hosts.max(1));
            let pool = pool.map_or("spare", String::as_str);
            let dc = self.dc(index);
            let rack = self.rack(index);
            format!("host-{index},{dc},{rack},{addr},{SLOTS},{pool}\n")
        });
        "host,dc,rack,addr,slots,pool\n".to_owned() + &rows.collect::<String>()
    }
}
