//! Common derives of the domain types.

/// Declares domain types with the common derives and kebab-case names of fields and variants.
///
/// Every item gets `Debug`, `Clone`, `PartialEq`, `Serialize` and `Deserialize`; further
/// attributes pass through unchanged.
///
/// # Examples
///
/// ```
/// lynxmast_state::value! {
///     /// A point on a map.
///     pub struct Point {
///         /// Metres to the east.
///         pub east: f64,
///     }
/// }
/// assert_eq!(Point { east: 1.0 }, Point { east: 1.0 });
/// ```
#[macro_export]
macro_rules! value {
    ($($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $body:tt)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(rename_all = "kebab-case")]
            $(#[$meta])*
            $vis $kind $name $body
        )+
    };
}
