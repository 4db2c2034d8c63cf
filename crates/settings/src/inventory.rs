//! What there is: failure domains, racks, workers, services and their executors.

use std::collections::{BTreeMap, HashMap, HashSet};

use common::Name;

use crate::quantity::{SIZE_KEYS, Size, read_size};
use crate::reader::{Faults, Node, read};

common::data! {
    /// Everything that the operators registered for one cell.
    #[derive(Default)]
    pub struct Inventory {
        /// The cell's name.
        pub cell: Name,
        /// Racks by name.
        pub racks: BTreeMap<Name, Rack>,
        /// Services by name.
        pub services: BTreeMap<Name, Service>,
    }

    /// A rack of workers; the unit that one daemon owns.
    #[derive(Default)]
    pub struct Rack {
        /// The failure domain that it stands in.
        pub domain: Name,
        /// Its workers, in the order of the file.
        pub workers: Vec<Worker>,
    }

    /// A machine that runs tasks.
    #[derive(Default)]
    pub struct Worker {
        /// Its name, unique in the cell.
        pub name: Name,
        /// What it holds in all.
        pub size: Size,
        /// What tasks may use: its size less its executors'.
        pub room: Size,
    }

    /// A service that answers quick requests.
    #[derive(Default)]
    pub struct Service {
        /// Its servers.
        pub executors: Vec<Executor>,
    }

    /// One server of a service.
    #[derive(Default)]
    pub struct Executor {
        /// Its name, unique in the cell.
        pub name: Name,
        /// The worker that it runs on.
        pub worker: Name,
        /// Requests that it serves at once.
        pub slots: u32,
        /// Connections that it accepts.
        pub connections: u32,
        /// What it takes of its worker, all the time.
        pub size: Size,
    }
}

impl Inventory {
    /// Reads an inventory file.
    ///
    /// # Errors
    ///
    /// Every fault with its place.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        read(text, read_inventory)
    }

    /// Every worker with the name of its rack.
    pub fn workers<'a>(&'a self) -> impl Iterator<Item = (&'a Name, &'a Worker)> {
        let of_rack = |(name, rack): (&'a Name, &'a Rack)| {
            rack.workers.iter().map(move |worker| (name, worker))
        };
        self.racks.iter().flat_map(of_rack)
    }

    /// The rack that a worker stands in.
    pub fn rack_of(&self, worker: &str) -> Option<&Name> {
        let holds = |rack: &Rack| rack.workers.iter().any(|one| &*one.name == worker);
        self.racks.iter().find(|(_, rack)| holds(rack)).map(|(name, _)| name)
    }

    /// Whether any worker, all its tasks gone, could hold a task of this size.
    ///
    /// # Errors
    ///
    /// The dimension in which no worker could ever hold the size.
    pub fn could_hold(&self, size: &Size) -> Result<(), &'static str> {
        let mut nearest = "workers";
        for (_, worker) in self.workers() {
            match size.excess(&worker.room) {
                None => return Ok(()),
                Some(dimension) => nearest = dimension,
            }
        }
        Err(nearest)
    }
}

fn read_inventory(root: Node<'_>) -> Inventory {
    let object = root.object(&["cell", "domains", "services"]);
    let mut names = HashSet::new();
    let mut inventory = Inventory { cell: object.name("cell"), ..Inventory::default() };
    for node in object.need("domains").map(Node::array).unwrap_or_default() {
        read_domain(node, &mut names, &mut inventory);
    }
    for node in object.list("services") {
        read_service(node, &mut names, &mut inventory);
    }
    subtract_executors(root, &mut inventory);
    inventory
}

fn unique(node: Node<'_>, names: &mut HashSet<Name>, name: &Name) {
    if !name.is_empty() && !names.insert(name.clone()) {
        node.fault(format!("the name `{name}` stands twice"));
    }
}

fn read_domain(node: Node<'_>, names: &mut HashSet<Name>, into: &mut Inventory) {
    let object = node.object(&["name", "racks"]);
    let domain = object.name("name");
    unique(node, names, &domain);
    for node in object.list("racks") {
        let object = node.object(&["name", "workers"]);
        let name = object.name("name");
        unique(node, names, &name);
        let workers = object.list("workers").into_iter();
        let workers = workers.map(|node| read_worker(node, names)).collect();
        into.racks.insert(name, Rack { domain: domain.clone(), workers });
    }
}

fn read_worker(node: Node<'_>, names: &mut HashSet<Name>) -> Worker {
    let mut known = vec!["name"];
    known.extend(SIZE_KEYS);
    let object = node.object(&known);
    let size = read_size(&object);
    let worker = Worker { name: object.name("name"), size, room: size };
    unique(node, names, &worker.name);
    worker
}

fn read_service(node: Node<'_>, names: &mut HashSet<Name>, into: &mut Inventory) {
    let object = node.object(&["name", "executors"]);
    let name = object.name("name");
    unique(node, names, &name);
    let mut service = Service::default();
    for node in object.list("executors") {
        let executor = read_executor(node);
        unique(node, names, &executor.name);
        if into.rack_of(&executor.worker).is_none() {
            node.fault(format!("no worker `{}` in any rack", executor.worker));
        }
        service.executors.push(executor);
    }
    into.services.insert(name, service);
}

fn read_executor(node: Node<'_>) -> Executor {
    let mut known = vec!["name", "worker", "slots", "connections"];
    known.extend(SIZE_KEYS);
    let object = node.object(&known);
    let executor = Executor {
        name: object.name("name"),
        worker: object.name("worker"),
        slots: object.whole("slots", 1..=4096) as u32,
        connections: object.whole("connections", 1..=65_536) as u32,
        size: read_size(&object),
    };
    if executor.connections < executor.slots {
        node.fault("fewer connections than slots");
    }
    executor
}

fn subtract_executors(root: Node<'_>, inventory: &mut Inventory) {
    let mut taken: HashMap<Name, Size> = HashMap::new();
    for executor in inventory.services.values().flat_map(|service| &service.executors) {
        let sum = taken.entry(executor.worker.clone()).or_default();
        *sum = sum.plus(&executor.size);
    }
    for worker in inventory.racks.values_mut().flat_map(|rack| &mut rack.workers) {
        let taken = taken.get(&worker.name).copied().unwrap_or_default();
        if let Some(dimension) = taken.excess(&worker.size) {
            let name = &worker.name;
            root.fault(format!("the executors on `{name}` need more {dimension} than it has"));
        }
        worker.room = worker.size.minus(&taken);
    }
}
