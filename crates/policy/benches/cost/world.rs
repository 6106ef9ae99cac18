//! The versions, request classes and workspaces of the bench, and the generator of answers.

/// One version of a model.
#[derive(Debug, Clone, Copy)]
pub struct Version {
    pub name: &'static str,
    pub cost: f64,
    pub latency_ms: f64,
    /// The share of good answers by class.
    pub quality: [f64; 3],
    /// The prior from the catalogue.
    pub prior: f64,
}

/// The versions, cheapest first.
pub const VERSIONS: [Version; 3] = [
    Version {
        name: "small",
        cost: 10.0,
        latency_ms: 120.0,
        quality: [0.96, 0.84, 0.60],
        prior: 0.85,
    },
    Version {
        name: "medium",
        cost: 32.0,
        latency_ms: 200.0,
        quality: [0.975, 0.92, 0.80],
        prior: 0.9,
    },
    Version {
        name: "large",
        cost: 100.0,
        latency_ms: 380.0,
        quality: [0.99, 0.97, 0.945],
        prior: 0.97,
    },
];

/// The request classes.
pub const CLASSES: [&str; 3] = ["easy", "middle", "hard"];

/// The share of requests that are equally difficult for every version.
pub const SHARED_DIFFICULTY: f64 = 0.5;

/// One phase of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Before,
    Drifted,
    Shifted,
}

impl Phase {
    pub const ALL: [Phase; 3] = [Phase::Before, Phase::Drifted, Phase::Shifted];

    pub fn name(self) -> &'static str {
        match self {
            Phase::Before => "before",
            Phase::Drifted => "drifted",
            Phase::Shifted => "shifted",
        }
    }
}

/// One workspace, with its quality target and the shares of its classes.
#[derive(Debug, Clone, Copy)]
pub struct Workspace {
    pub name: &'static str,
    pub target: f64,
    pub mix: [f64; 3],
}

/// The simulated workspaces.
pub const WORKSPACES: [Workspace; 3] = [
    Workspace {
        name: "kiosk",
        target: 0.90,
        mix: [0.6, 0.3, 0.1],
    },
    Workspace {
        name: "clerk",
        target: 0.93,
        mix: [0.4, 0.4, 0.2],
    },
    Workspace {
        name: "notice",
        target: 0.95,
        mix: [0.7, 0.2, 0.1],
    },
];

/// Returns the share of good answers of a version in a class.
pub fn quality(version: usize, class: usize, phase: Phase) -> f64 {
    let drifted = phase != Phase::Before && version == 0 && class == 1;
    if drifted {
        0.65
    } else {
        VERSIONS[version].quality[class]
    }
}

/// Returns the shares of the classes in a workspace's requests.
pub fn mix(workspace: &Workspace, phase: Phase) -> [f64; 3] {
    let [easy, middle, hard] = workspace.mix;
    if phase == Phase::Shifted {
        [easy - 0.1, middle - 0.05, hard + 0.15]
    } else {
        workspace.mix
    }
}

/// The answers of all versions to one request.
#[derive(Debug, Clone, Copy)]
pub struct Answers {
    pub good: [bool; 3],
    pub confidence: [f64; 3],
}

/// Draws the class of a request.
pub fn draw_class(mix: &[f64; 3], random: &mut fastrand::Rng) -> usize {
    let point = random.f64();
    if point < mix[0] {
        return 0;
    }
    if point < mix[0] + mix[1] { 1 } else { 2 }
}

/// Draws the answers to one request.
pub fn draw_answers(class: usize, phase: Phase, random: &mut fastrand::Rng) -> Answers {
    let shared = random.f64() < SHARED_DIFFICULTY;
    let difficulty = random.f64();
    let mut answers = Answers {
        good: [false; 3],
        confidence: [0.0; 3],
    };
    for version in 0..VERSIONS.len() {
        let point = if shared { difficulty } else { random.f64() };
        let good = point < quality(version, class, phase);
        let spread = random.f64();
        answers.good[version] = good;
        answers.confidence[version] = if good {
            1.0 - 0.5 * spread * spread
        } else {
            0.9 * spread.sqrt()
        };
    }
    answers
}
