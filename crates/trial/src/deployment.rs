//! Sample deployments, embedded from `examples/`.

use std::str::FromStr;

use catalog::Declarations;

/// A sample deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Kiosks and gates over three availability zones in the Kathmandu valley.
    Shrestha,
    /// Seat allocation over three availability zones in Lakes-East.
    Authority,
}

/// An embedded file of declarations.
struct EmbeddedFile {
    deployment: Deployment,
    name: &'static str,
    text: &'static str,
}

macro_rules! file {
    ($deployment:ident, $name:literal) => {
        EmbeddedFile {
            deployment: Deployment::$deployment,
            name: concat!("examples/", $name),
            text: include_str!(concat!("../../../examples/", $name)),
        }
    };
}

const FILES: &[EmbeddedFile] = &[
    file!(Shrestha, "shrestha/models.toml"),
    file!(Shrestha, "shrestha/policies.toml"),
    file!(Shrestha, "shrestha/pools.toml"),
    file!(Shrestha, "shrestha/workspaces.toml"),
    file!(Authority, "authority/models.toml"),
    file!(Authority, "authority/policies.toml"),
    file!(Authority, "authority/pools.toml"),
    file!(Authority, "authority/workspaces.toml"),
];

impl Deployment {
    /// Parses the embedded declarations.
    ///
    /// # Errors
    ///
    /// Fails when an embedded file does not parse.
    pub fn declarations(self) -> anyhow::Result<Declarations> {
        let mut all = Declarations::default();
        for file in FILES.iter().filter(|file| file.deployment == self) {
            let parsed = Declarations::parse(file.name, file.text);
            let parsed = parsed.map_err(|problems| anyhow::anyhow!("{}", problems[0]))?;
            all.items.extend(parsed.items);
        }
        all.items.sort_by_key(|item| item.kind);
        Ok(all)
    }

    /// Returns the availability zones over which its pools are spread.
    pub fn zones(self) -> [&'static str; 3] {
        match self {
            Deployment::Shrestha => ["thamel", "lalitpur", "bhaktapur"],
            Deployment::Authority => ["cleveland", "buffalo", "toledo"],
        }
    }

    /// Returns the model that callers request.
    pub fn model(self) -> &'static str {
        match self {
            Deployment::Shrestha => "visitor",
            Deployment::Authority => "seating",
        }
    }

    /// Returns a service and its non-idempotent call.
    pub fn service(self) -> (&'static str, &'static str) {
        match self {
            Deployment::Shrestha => ("gate", "clearance"),
            Deployment::Authority => ("desk", "allocation"),
        }
    }

    /// Returns the workspaces that send calls.
    pub fn workspaces(self) -> [&'static str; 5] {
        match self {
            Deployment::Shrestha => [
                "bir-hospital",
                "teaching-hospital",
                "embassy-row",
                "hotel-1",
                "hotel-2",
            ],
            Deployment::Authority => [
                "high-holy-days",
                "yahrzeit-office",
                "simcha-desk",
                "congregation-1",
                "congregation-2",
            ],
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Deployment, String> {
        match text {
            "shrestha" => Ok(Deployment::Shrestha),
            "authority" => Ok(Deployment::Authority),
            other => Err(format!("expected shrestha or authority, found '{other}'")),
        }
    }
}
