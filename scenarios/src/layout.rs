//! What a site consists of.

/// Names and numbers of a site.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Data centres.
    pub dcs: Vec<String>,
    /// Entry hosts, spread over the data centres.
    pub entries: usize,
    /// Services, each with a pool of the same name.
    pub services: Vec<String>,
    /// Hosts in each service's pool, spread over the data centres.
    pub hosts: usize,
    /// Hosts in the spare pool.
    pub spares: usize,
    /// Rows of the operators' table: team, weight, limit, urgent.
    pub teams: Vec<(String, u32, u32, bool)>,
    /// Mean run time of a backend server, in milliseconds.
    pub run_ms: u64,
}

/// Hosts that share a rack.
const RACK_HOSTS: usize = 4;
/// Slots of a backend server.
const SLOTS: u32 = 8;
/// Hosts of a pool that may be out of service at once.
const BUDGET: u32 = 4;

impl Layout {
    /// The size of one of today's users.
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
        }
    }

    /// A site that starts fast: three entry hosts, one service of six hosts, two spares.
    #[must_use]
    pub fn small() -> Self {
        let mut layout = Self::today();
        layout.entries = 3;
        layout.services.truncate(1);
        layout.hosts = 6;
        layout.spares = 2;
        layout
    }

    /// Hosts of all pools.
    #[must_use]
    pub fn host_count(&self) -> usize {
        self.services.len() * self.hosts + self.spares
    }

    /// Data centre of host or entry `index`.
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

    /// The operators' table.
    #[must_use]
    pub fn table(&self) -> String {
        let rows = self.teams.iter().map(|(team, weight, limit, urgent)| {
            let urgent = if *urgent { "yes" } else { "no" };
            format!("{team},{weight},{limit},{urgent}\n")
        });
        "team,weight,limit,urgent\n".to_owned() + &rows.collect::<String>()
    }

    /// The operators' file of pools.
    #[must_use]
    pub fn pools(&self) -> String {
        let rows = self
            .services
            .iter()
            .map(|service| format!("{service},{service},no,,{BUDGET}\n"));
        let spare = format!("spare,,no,,{}\n", self.spares);
        "pool,service,open,teams,budget\n".to_owned() + &rows.collect::<String>() + &spare
    }

    /// The operators' file of hosts, at these addresses.
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
