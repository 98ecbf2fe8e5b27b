//! Tests of the metrics that the administration interface formats itself.

use super::*;

// Guards against a name that breaks the format, so that no metric can be scraped.
#[test]
fn names_of_organisations_are_escaped_in_metrics() {
    let named =
        spender::Counts { organisation: Some("a\"b\\c\n".into()), admitted: 3, rejected: 1 };
    let others = spender::Counts { organisation: None, admitted: 7, rejected: 0 };
    let text = quota_metrics(&[named, others]);
    assert_eq!(text.lines().count(), 5, "{text}");
    let expected = r#"lynxmast_quota_requests{organisation="a\"b\\c\n",decision="admitted"} 3"#;
    assert_eq!(text.lines().nth(1), Some(expected));
    let expected = r#"lynxmast_quota_requests{organisation="",decision="admitted"} 7"#;
    assert_eq!(text.lines().nth(3), Some(expected));
}
